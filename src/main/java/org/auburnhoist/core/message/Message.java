package org.auburnhoist.core.message;

/** A message between hosts. */
public sealed interface Message
        permits PullRequest,
                PullAnswer,
                DocumentRequest,
                DocumentAnswer,
                ChunkRequest,
                ChunkAnswer,
                TokenRequest,
                TokenAnswer,
                TokenReturn,
                QuotaTakeoverRequest,
                QuotaHandoverRequest,
                ClaimRequest,
                ClaimAnswer,
                ClaimOutcome,
                SlotRequest,
                SlotAnswer,
                SlotRelease,
                HandoverRequest,
                Acknowledgement,
                StatusReport,
                StatusDigest {}
