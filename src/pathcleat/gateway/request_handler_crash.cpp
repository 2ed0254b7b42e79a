// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// Keeps a request that crashes upstreams from reaching further ones.

#include "pathcleat/core/hash.hpp"
#include "pathcleat/gateway/request_handler.hpp"
#include "pathcleat/http/endpoint.hpp"

namespace pathcleat {
namespace {

// Time for the machine of an upstream to answer whether a process listens on
// the port: two round trips between distant regions over a saturated link.
constexpr Duration kProbeTimeout{600'000};

}  // namespace

RequestDigest RequestHandler::Digest() {
  if (!digest_) {
    digest_ = DigestOf(exchange_->request(), account_ ? account_->name : "",
                       state_.request_hasher);
  }
  return *digest_;
}

bool RequestHandler::TracksCrashes() const {
  return state_.request_hasher.IsReady() &&
         state_.settings.policy.IsEnabled(Mechanism::kCrashBlock);
}

// Whether this request may be suspected of crashing upstreams. Needs no digest:
// while no request at all is suspected, computing digests would be wasted work.
bool RequestHandler::MayBeSuspected() const {
  return !state_.crashes.IsEmpty() && TracksCrashes();
}

CrashDecision RequestHandler::DecideOnCrashes(Time now) {
  return MayBeSuspected() ? state_.crashes.Decide(Digest(), now)
                          : CrashDecision();
}

// Returns a pick without an upstream if the request must not be sent, and no
// value otherwise. The request must not be sent if it is blocked, or if an
// upstream may have crashed while it ran the request for this caller and a
// crash by such a request is already recorded.
std::optional<Pick> RequestHandler::MakeBlockedPick(Time now) {
  const CrashDecision decision = DecideOnCrashes(now);
  if (!decision.blocked &&
      !(may_have_crashed_upstream_ && decision.crash_count > 0)) {
    return std::nullopt;
  }
  trace_.NoteSuspected(Digest(), decision);
  Pick pick;
  pick.failure = PickFailure::kCrashesUpstreams;
  pick.retry_after = decision.retry_after;
  return pick;
}

void RequestHandler::RecordCrashTrial() {
  is_crash_trial_ =
      MayBeSuspected() && state_.crashes.OnSent(Digest(), BootClock::now());
}

// A lost connection does not prove a crash: the connection may have been reset,
// or idle for too long. The upstream has crashed only if no process listens on
// its port any more, so the port is probed. A host that is cut off is refused
// everywhere, so another upstream must answer.
void RequestHandler::ProbeForCrash(const CallResult& result) {
  const bool lost_by_peer = result.outcome == CallOutcome::kConnectionLost &&
                            !result.closed_locally && !result.connection_silent;
  const UpstreamInfo& upstream = attempt_.pick().upstream->info;
  const auto endpoint = ParseTcpEndpoint(upstream.address);
  if (!lost_by_peer || !endpoint || !TracksCrashes()) {
    return;
  }
  may_have_crashed_upstream_ = true;
  state_.listen_probe.Probe(
      *endpoint, kProbeTimeout,
      [&state = state_, request = Digest(), id = upstream.id] {
        state.reach.Verify(id, [&state, request, id] {
          state.metrics.OnUpstreamCrashed();
          state.crashes.OnCrash(request, StableHash(id), BootClock::now());
        });
      });
}

// Called for an answer with any status, as a request that crashes its upstream
// gets no answer at all.
void RequestHandler::ReportNoCrash() {
  if (MayBeSuspected()) {
    state_.crashes.OnAnswer(Digest(), BootClock::now());
  }
}

}  // namespace pathcleat
