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

/** Dispatches requests of other hosts to the controllers on the control thread. */
final class HostPeerRequestHandler implements PeerRequestHandler {
    private final ControlThread control;
    private final HostControllers controllers;

    HostPeerRequestHandler(ControlThread control, HostControllers controllers) {
        this.control = control;
        this.controllers = controllers;
    }

    @Override
    public CompletionStage<Message> handle(HostId from, Message request) {
        return control.computeAsync((answer, now) -> dispatchPeerRequest(from, request, now, answer));
    }

    private void dispatchPeerRequest(HostId from, Message request, long nowNanos, CompletableFuture<Message> answer) {
        if (request instanceof SlotRequest slot) {
            controllers.dispatchers().request(slot, from, nowNanos).thenAccept(answer::complete);
        } else if (request instanceof SlotRelease release) {
            controllers.dispatchers().release(release, from, nowNanos);
            answer.complete(new Acknowledgement(true));
        } else if (request instanceof TokenRequest token) {
            answer.complete(controllers.limits().handle(token, nowNanos));
        } else if (request instanceof TokenReturn returned) {
            answer.complete(controllers.limits().handle(returned, nowNanos));
        } else if (request instanceof PullRequest pull) {
            answer.complete(controllers.pulls().handle(from, pull, nowNanos));
        } else if (request instanceof ClaimRequest claim) {
            answer.complete(controllers.operations().handle(from, claim, nowNanos));
        } else if (request instanceof ClaimOutcome outcome) {
            answer.complete(controllers.operations().handle(from, outcome, nowNanos));
        } else {
            dispatchDocumentRequest(from, request, nowNanos, answer);
        }
    }

    private void dispatchDocumentRequest(
            HostId from, Message request, long nowNanos, CompletableFuture<Message> answer) {
        if (request instanceof DocumentRequest document) {
            answer.complete(controllers.documents().handle(document));
        } else if (request instanceof ChunkRequest chunk) {
            answer.complete(controllers.documents().handle(chunk));
        } else if (request instanceof HandoverRequest handover) {
            answer.complete(
                    handover.kind() == HandoverRequest.HandoverKind.BUCKET_LEVELS
                            ? controllers.limits().handle(from, handover, nowNanos)
                            : controllers.operations().handle(handover, nowNanos));
        } else {
            answer.complete(new Acknowledgement(false));
        }
    }
}
