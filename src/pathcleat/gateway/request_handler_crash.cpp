// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// How a call is kept from bringing further upstreams down.

#include "pathcleat/core/hash.hpp"
#include "pathcleat/gateway/request_handler.hpp"
#include "pathcleat/http/endpoint.hpp"

namespace pathcleat {
namespace {

// For the machine of an upstream to say whether anybody listens there: two
// ways between far regions, and a full link.
constexpr Duration kProbeTimeout{600'000};

}  // namespace

RequestDigest RequestHandler::Digest() {
  if (!digest_) {
    digest_ = DigestOf(exchange_->request(), account_ ? account_->name : "",
                       state_.request_hasher);
  }
  return *digest_;
}

bool RequestHandler::CountsCrashes() const {
  return state_.request_hasher.IsReady() &&
         state_.settings.policy.IsEnabled(Mechanism::kCrashBlock);
}

// As long as nothing is suspected, no digest is reckoned.
bool RequestHandler::MayBeSuspected() const {
  return !state_.crashes.IsEmpty() && CountsCrashes();
}

CrashDecision RequestHandler::JudgeCrashes(Time now) {
  return MayBeSuspected() ? state_.crashes.Decide(Digest(), now)
                          : CrashDecision();
}

// A request under which this call's upstream has ended gets no second one if
// others have ended under it before.
std::optional<Pick> RequestHandler::KeptFromUpstreams(Time now) {
  const CrashDecision verdict = JudgeCrashes(now);
  if (!verdict.blocked && !(ended_under_ && verdict.crash_count > 0)) {
    return std::nullopt;
  }
  trace_.NoteSuspected(Digest(), verdict);
  Pick pick;
  pick.failure = PickFailure::kCrashesUpstreams;
  pick.retry_after = verdict.retry_after;
  return pick;
}

void RequestHandler::NoteCrashTrial() {
  on_trial_ =
      MayBeSuspected() && state_.crashes.OnSent(Digest(), BootClock::now());
}

// A connection ends without an answer also where it was reset, or had been
// idle for too long. Only where nobody listens any more has the upstream ended.
void RequestHandler::NoteEndedUnder(const CallResult& result) {
  const bool by_peer = result.outcome == CallOutcome::kConnectionLost &&
                       !result.closed_locally && !result.connection_silent;
  const UpstreamInfo& upstream = attempt_.pick().upstream->info;
  const auto endpoint = ParseTcpEndpoint(upstream.address);
  if (!by_peer || !endpoint || !CountsCrashes()) {
    return;
  }
  ended_under_ = true;
  state_.listen_probe.Probe(
      *endpoint, kProbeTimeout,
      [&state = state_, request = Digest(), id = StableHash(upstream.id)] {
        state.metrics.OnUpstreamCrashed();
        state.crashes.OnCrash(request, id, BootClock::now());
      });
}

// Whatever the answer says: what crashes its upstream gets none.
void RequestHandler::NoteRunEnded() {
  if (MayBeSuspected()) {
    state_.crashes.OnAnswer(Digest(), BootClock::now());
  }
}

}  // namespace pathcleat
