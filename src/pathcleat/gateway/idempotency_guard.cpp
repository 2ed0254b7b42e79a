// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/gateway/idempotency_guard.hpp"

#include <algorithm>
#include <utility>

#include "pathcleat/calls/upstream_protocol.hpp"
#include "pathcleat/core/hash.hpp"
#include "pathcleat/http/http_status.hpp"
#include "pathcleat/routing/retry_scheduler.hpp"

namespace pathcleat {
namespace {

constexpr const char* kKeyHeader = "Idempotency-Key";
constexpr std::size_t kMaxKeyBytes = 128;

bool HasControlCharacter(const std::string& text) {
  constexpr unsigned char kSpace = 0x20;
  constexpr unsigned char kDelete = 0x7F;
  return std::any_of(text.begin(), text.end(), [](unsigned char byte) {
    return byte < kSpace || byte == kDelete;
  });
}

std::uint64_t Fingerprint(const HttpRequest& request) {
  return StableHash(request.body,
                    StableHash(request.target, StableHash(request.method)));
}

// Makes the refusal of a request whose key can't be claimed. The time at which
// the store answers again is unknown, so the retry is delayed for as long as
// the caller can wait.
IdempotencyDecision NotRun(const std::string& reason, Duration left) {
  const Duration after = LatestRetryDelay(left, Duration::zero());
  return {false, NotRunResponse(reason, after), RunOutcome::kNotRun};
}

}  // namespace

bool IdempotencyGuard::HasKey(const HttpRequest& request) {
  return FindHeader(request.headers, kKeyHeader).has_value();
}

void IdempotencyGuard::Claim(
    const std::string& service,
    const HttpRequest& request,
    Duration left,
    std::function<void(IdempotencyDecision)> callback) {
  const std::string key = FindHeader(request.headers, kKeyHeader).value_or("");
  if (key.empty() || key.size() > kMaxKeyBytes || HasControlCharacter(key)) {
    callback({false,
              TextResponse(http_status::kBadRequest,
                           "Idempotency-Key: expected 1 to 128 bytes without "
                           "control characters\n"),
              RunOutcome::kNotRun});
    return;
  }
  // While the store is unreachable, an attempt to claim the key would end in
  // the same refusal, only later.
  if (!state_.store_reachable) {
    callback(NotRun("the key cannot be claimed: no store", left));
    return;
  }
  if (left <= Duration::zero()) {
    callback(NotRun("the caller waits no longer", left));
    return;
  }
  KeyClaimRequest claim;
  claim.row_name = IdempotencyKeyRowName(service, key);
  claim.fingerprint = Fingerprint(request);
  claim.deadline_wall_micros =
      WallMicros() + static_cast<std::uint64_t>(left.count());
  state_.idempotency_keys.Claim(
      claim, [this, left, callback = std::move(callback)](ClaimResult result) {
        callback(Decide(std::move(result), left));
      });
}

IdempotencyDecision IdempotencyGuard::Decide(ClaimResult result,
                                             Duration left) {
  switch (result.action) {
    case KeyAction::kRun:
      claimed_ = std::move(result.claimed);
      return {true, {}, RunOutcome::kNotRun};
    case KeyAction::kReplayAnswer:
      state_.events.Record(EventCode::kKeyReplayed, result.claimed.row_name,
                           "stored answer replayed");
      return {false, std::move(result.stored_response), RunOutcome::kAnswered};
    case KeyAction::kAnswerRunning:
      state_.events.Record(EventCode::kKeyInProgress, result.claimed.row_name,
                           "a request with this key is still running");
      return {false,
              TextResponse(http_status::kConflict,
                           "a request with this key is running; ask again "
                           "later\n"),
              RunOutcome::kUnknown};
    case KeyAction::kAnswerUnknown:
      return {false,
              TextResponse(http_status::kBadGateway,
                           "a request with this key may have run; it is never "
                           "run again\n"),
              RunOutcome::kUnknown};
    case KeyAction::kAnswerMismatch:
      return {false,
              TextResponse(http_status::kUnprocessable,
                           "this key was used for another request\n"),
              RunOutcome::kNotRun};
    case KeyAction::kRefuseNotRun:
    case KeyAction::kPut:
    case KeyAction::kRead:
      break;
  }
  return NotRun("the key cannot be claimed: the store fails", left);
}

void IdempotencyGuard::RecordOutcome(const HttpResponse& response,
                                     RunOutcome outcome) {
  if (!claimed_) {
    return;
  }
  const ClaimedKey key = std::move(*claimed_);
  claimed_.reset();
  switch (outcome) {
    case RunOutcome::kAnswered:
      state_.idempotency_keys.MarkFinished(key, response);
      return;
    case RunOutcome::kNotRun:
      state_.idempotency_keys.Release(key);
      return;
    case RunOutcome::kUnknown:
      state_.idempotency_keys.MarkUnknown(key);
      return;
  }
}

}  // namespace pathcleat
