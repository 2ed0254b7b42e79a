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

// While no request is suspected, no digest is computed.
bool RequestHandler::MayBeSuspected() const {
  return !state_.crashes.IsEmpty() && TracksCrashes();
}

CrashDecision RequestHandler::DecideOnCrashes(Time now) {
  return MayBeSuspected() ? state_.crashes.Decide(Digest(), now)
                          : CrashDecision();
}

// A request whose own upstream may have crashed gets no second one if it has
// crashed upstreams before.
std::optional<Pick> RequestHandler::PickIfBlocked(Time now) {
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

// A connection may also be lost without an answer because it was reset or idle
// for too long. The upstream has crashed only if no process listens on its port
// any more, so the port is probed.
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
      [&state = state_, request = Digest(), id = StableHash(upstream.id)] {
        state.metrics.OnUpstreamCrashed();
        state.crashes.OnCrash(request, id, BootClock::now());
      });
}

// Any answer counts, with any status: a request that crashes its upstream gets
// none.
void RequestHandler::ReportNoCrash() {
  if (MayBeSuspected()) {
    state_.crashes.OnAnswer(Digest(), BootClock::now());
  }
}

}  // namespace pathcleat
