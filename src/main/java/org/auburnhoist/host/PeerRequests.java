package org.auburnhoist.host;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.message.Acknowledgement;
import org.auburnhoist.core.message.ChunkRequest;
import org.auburnhoist.core.message.ClaimOutcome;
import org.auburnhoist.core.message.ClaimRequest;
import org.auburnhoist.core.message.DocumentRequest;
import org.auburnhoist.core.message.HandoverRequest;
import org.auburnhoist.core.message.Message;
import org.auburnhoist.core.message.PullRequest;
import org.auburnhoist.core.message.SlotRelease;
import org.auburnhoist.core.message.SlotRequest;
import org.auburnhoist.core.message.TokenRequest;
import org.auburnhoist.core.message.TokenReturn;
import org.auburnhoist.peer.PeerRequestHandler;

/** Passes requests of other hosts to the controllers, on the control thread. */
final class PeerRequests implements PeerRequestHandler {
    private final ControlThread control;
    private final HostControllers controllers;

    PeerRequests(ControlThread control, HostControllers controllers) {
        this.control = control;
        this.controllers = controllers;
    }

    @Override
    public CompletionStage<Message> handle(HostId from, Message request) {
        return control.answer((answer, now) -> answer(from, request, now, answer));
    }

    private void answer(HostId from, Message request, long nowNanos, CompletableFuture<Message> answer) {
        if (request instanceof SlotRequest slot) {
            controllers.dispatchers().request(slot, from, nowNanos).thenAccept(answer::complete);
        } else if (request instanceof SlotRelease release) {
            controllers.dispatchers().release(release, from, nowNanos);
            answer.complete(new Acknowledgement(true));
        } else if (request instanceof TokenRequest token) {
            answer.complete(controllers.limits().answer(token, nowNanos));
        } else if (request instanceof TokenReturn returned) {
            answer.complete(controllers.limits().answer(returned, nowNanos));
        } else if (request instanceof PullRequest pull) {
            answer.complete(controllers.pulls().answer(from, pull, nowNanos));
        } else if (request instanceof ClaimRequest claim) {
            answer.complete(controllers.operations().answer(from, claim, nowNanos));
        } else if (request instanceof ClaimOutcome outcome) {
            answer.complete(controllers.operations().answer(from, outcome, nowNanos));
        } else {
            answerDocument(from, request, nowNanos, answer);
        }
    }

    private void answerDocument(HostId from, Message request, long nowNanos, CompletableFuture<Message> answer) {
        if (request instanceof DocumentRequest document) {
            answer.complete(controllers.documents().answer(document));
        } else if (request instanceof ChunkRequest chunk) {
            answer.complete(controllers.documents().answer(chunk));
        } else if (request instanceof HandoverRequest handover) {
            answer.complete(
                    handover.kind() == HandoverRequest.HandoverKind.BUCKET_LEVELS
                            ? controllers.limits().answer(from, handover, nowNanos)
                            : controllers.operations().answer(handover, nowNanos));
        } else {
            answer.complete(new Acknowledgement(false));
        }
    }
}
