// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <string>

#include "pathcleat/core/store_outcome.hpp"
#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief State of an idempotency key's row.
/// @ingroup steer
enum class KeyState {
  kRunning,   ///< claimed; its request may be running
  kFinished,  ///< it ran, and the answer is kept
  kUnknown,   ///< it may have run; it is never run again
};

/// @brief What the claim needs to know of a row that was read.
/// @ingroup steer
struct ObservedKey {
  std::uint64_t version = 0;  ///< 0: there is no row
  KeyState state = KeyState::kRunning;
  std::string token;              ///< of the claim that wrote it
  std::uint64_t fingerprint = 0;  ///< of the request
  bool is_overdue = false;        ///< its request must have ended by now
};

/// @brief What to do next with a keyed request.
/// @ingroup steer
enum class KeyAction {
  kPut,             ///< write the claim if there is no row
  kRead,            ///< read the row
  kRun,             ///< the key is this request's: run it, once
  kReplayAnswer,    ///< give the kept answer
  kAnswerRunning,   ///< say that it is still running
  kAnswerUnknown,   ///< say that it may have run
  kAnswerMismatch,  ///< the key was used for another request
  kRefuseNotRun,    ///< the claim cannot be kept: refuse, not run
};

/// @brief Decides whether a keyed request may be run. kRun is given at most
/// once for a key, over all hosts, for any order of lost, late or repeated
/// store answers. Pure state; not thread-safe.
/// @ingroup steer
class KeyClaim {
 public:
  /// @param token unique to this claim.
  /// @param fingerprint hash of the request.
  KeyClaim(std::string token, std::uint64_t fingerprint);

  KeyAction Start() const { return KeyAction::kPut; }

  /// @brief Answer to kPut.
  /// @param version of the row, for kDone.
  KeyAction OnPut(StoreOutcome outcome, std::uint64_t version);

  /// @brief Answer to kRead.
  KeyAction OnRead(const ObservedKey& row);

  /// @brief The read failed.
  static KeyAction OnReadFailed();

  const std::string& token() const { return token_; }
  std::uint64_t fingerprint() const { return fingerprint_; }

  /// @brief Version of the claimed row, after kRun.
  std::uint64_t version() const { return version_; }

 private:
  KeyAction Retry(KeyAction action);

  std::string token_;
  std::uint64_t fingerprint_;
  std::uint64_t version_ = 0;
  int tries_left_;
};

}  // namespace pathcleat
