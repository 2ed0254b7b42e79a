// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/steer/key_claim.hpp"

#include <utility>

namespace pathcleat {
namespace {
// Store calls that a claim may make after the first put: one to read the row,
// one to put the row again if the read found no row, and one to read the row
// again.
constexpr int kMaxRetries = 3;
}  // namespace

KeyClaim::KeyClaim(std::string token, std::uint64_t fingerprint)
    : token_(std::move(token)),
      fingerprint_(fingerprint),
      retries_left_(kMaxRetries) {}

KeyAction KeyClaim::Retry(KeyAction action) {
  if (retries_left_ == 0) {
    return KeyAction::kRefuseNotRun;
  }
  --retries_left_;
  return action;
}

KeyAction KeyClaim::OnPut(StoreOutcome outcome, std::uint64_t version) {
  switch (outcome) {
    case StoreOutcome::kDone:
      version_ = version;
      return KeyAction::kRun;
    case StoreOutcome::kConflict:
    case StoreOutcome::kUnknown:
      // The row belongs to another claim, or to this claim if the answer to its
      // put was lost. The token in the row shows to which claim the row
      // belongs.
      return Retry(KeyAction::kRead);
    case StoreOutcome::kNotDone:
    case StoreOutcome::kHistoryGone:
      return KeyAction::kRefuseNotRun;
  }
  return KeyAction::kRefuseNotRun;
}

KeyAction KeyClaim::OnRead(const ObservedKey& row) {
  if (row.version == 0) {
    // A put without an answer may still arrive. A second put with the same
    // token then gets a conflict, and the row is read back.
    return Retry(KeyAction::kPut);
  }
  if (row.token == token_) {
    version_ = row.version;
    return KeyAction::kRun;
  }
  if (row.fingerprint != fingerprint_) {
    return KeyAction::kAnswerMismatch;
  }
  switch (row.state) {
    case KeyState::kFinished:
      return KeyAction::kReplayAnswer;
    case KeyState::kUnknown:
      return KeyAction::kAnswerUnknown;
    case KeyState::kRunning:
      return row.is_overdue ? KeyAction::kAnswerUnknown
                            : KeyAction::kAnswerRunning;
  }
  return KeyAction::kAnswerUnknown;
}

KeyAction KeyClaim::OnReadFailed() {
  // The request was not sent to an upstream, so "not run" is certain whatever
  // the row holds.
  return KeyAction::kRefuseNotRun;
}

}  // namespace pathcleat
