// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/steer/key_claim.hpp"

#include <utility>

namespace pathcleat {
namespace {
// Store calls a claim may take beyond the first: one to read it back, one to
// write it again where the read found nothing, and one to read that back.
constexpr int kMostTries = 3;
}  // namespace

KeyClaim::KeyClaim(std::string token, std::uint64_t fingerprint)
    : token_(std::move(token)),
      fingerprint_(fingerprint),
      tries_left_(kMostTries) {}

KeyAction KeyClaim::Retry(KeyAction action) {
  if (tries_left_ == 0) {
    return KeyAction::kRefuseNotRun;
  }
  --tries_left_;
  return action;
}

KeyAction KeyClaim::OnPut(StoreOutcome outcome, std::uint64_t version) {
  switch (outcome) {
    case StoreOutcome::kDone:
      version_ = version;
      return KeyAction::kRun;
    case StoreOutcome::kConflict:
    case StoreOutcome::kUnknown:
      // The row is another's, or this claim's own from a put whose answer
      // was lost: the token in it tells.
      return Retry(KeyAction::kRead);
    case StoreOutcome::kNotDone:
    case StoreOutcome::kHistoryGone:
      return KeyAction::kRefuseNotRun;
  }
  return KeyAction::kRefuseNotRun;
}

KeyAction KeyClaim::OnRead(const ObservedKey& row) {
  if (row.version == 0) {
    // A lost put may still be on its way; a second one with the same token
    // meets it as a conflict and is read back.
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
  // Nothing was sent, so "not run" is certain whatever the row says.
  return KeyAction::kRefuseNotRun;
}

}  // namespace pathcleat
