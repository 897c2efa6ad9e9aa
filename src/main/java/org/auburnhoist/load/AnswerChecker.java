package org.auburnhoist.load;

/** Checks answers with a success status. */
@FunctionalInterface
public interface AnswerChecker {
    /** Accepts every answer with complete HTTP framing; for servers that do not echo requests. */
    AnswerChecker FRAMING_ONLY = (request, operationId, echoedPath, body) -> AnswerCheck.Verdict.COMPLETE;

    /** Checks an answer; see {@link AnswerCheck#check} for the parameters. */
    AnswerCheck.Verdict check(LoadRequest request, String operationId, String echoedPath, byte[] body);
}
