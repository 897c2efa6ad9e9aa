package org.auburnhoist.core.dispatch;

import org.auburnhoist.core.message.SlotAnswer;

/**
 * An answer to an earlier slot request.
 *
 * @param replyToken the token that came with the request
 * @param answer the answer to send
 */
public record SlotDecision(long replyToken, SlotAnswer answer) {}
