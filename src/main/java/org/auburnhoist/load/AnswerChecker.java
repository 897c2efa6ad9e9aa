package org.auburnhoist.load;

/** Looks at answers with a status of success. */
@FunctionalInterface
public interface AnswerChecker {
    /** Accepts every answer whose framing is whole; for servers that do not echo requests. */
    AnswerChecker FRAMING_ONLY = (request, operationId, echoedPath, body) -> AnswerCheck.Verdict.WHOLE;

    /** Checks an answer, as {@link AnswerCheck#check} does. */
    AnswerCheck.Verdict check(LoadRequest request, String operationId, String echoedPath, byte[] body);
}
