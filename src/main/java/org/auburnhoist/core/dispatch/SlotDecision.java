package org.auburnhoist.core.dispatch;

import org.auburnhoist.core.message.SlotAnswer;

/**
 * The decision about an earlier slot request.
 *
 * @param replyToken the token that was passed with the request
 * @param answer the answer to send
 */
public record SlotDecision(long replyToken, SlotAnswer answer) {}
