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
  kRunning,   ///< the key is claimed; its request may be running
  kFinished,  ///< the key's request ran, and the response is stored
  kUnknown,   ///< the key's request may have run; it is never run again
};

/// @brief The parts of a key's row, as read from the store, that the decision
/// of a claim depends on.
/// @ingroup steer
struct ObservedKey {
  std::uint64_t version = 0;  ///< 0: there is no row
  KeyState state = KeyState::kRunning;
  std::string token;  ///< token of the claim that wrote the row
  std::uint64_t fingerprint =
      0;                    ///< hash of the request that the key was used for
  bool is_overdue = false;  ///< the deadline of the row's request has passed
};

/// @brief Next step for a request with an idempotency key.
/// @ingroup steer
enum class KeyAction {
  kPut,             ///< write the claim to the store, if the key has no row
  kRead,            ///< read the row
  kRun,             ///< this request owns the key: run the request, once
  kReplayAnswer,    ///< send the stored response
  kAnswerRunning,   ///< answer that the request is still running
  kAnswerUnknown,   ///< answer that the request may have run
  kAnswerMismatch,  ///< answer that the key was used for another request
  kRefuseNotRun,    ///< the claim is not confirmed: refuse as not run
};

/// @brief Decides whether a request with an idempotency key may be run. For
/// each key, at most one claim among those of all hosts returns kRun, and only
/// once. This holds even if answers of the store are lost, late, repeated or
/// out of order. Does no I/O; not thread-safe.
/// @ingroup steer
class KeyClaim {
 public:
  /// @param token unique to this claim.
  /// @param fingerprint hash of the request.
  KeyClaim(std::string token, std::uint64_t fingerprint);

  KeyAction Start() const { return KeyAction::kPut; }

  /// @brief Handles the store's answer to kPut.
  /// @param version the row's version, if the outcome is kDone.
  KeyAction OnPut(StoreOutcome outcome, std::uint64_t version);

  /// @brief Handles the row that was read after kRead.
  KeyAction OnRead(const ObservedKey& row);

  /// @brief Handles a read that failed after kRead.
  static KeyAction OnReadFailed();

  const std::string& token() const { return token_; }
  std::uint64_t fingerprint() const { return fingerprint_; }

  /// @brief Version of the claimed row; set when kRun has been returned.
  std::uint64_t version() const { return version_; }

 private:
  KeyAction Retry(KeyAction action);

  std::string token_;
  std::uint64_t fingerprint_;
  std::uint64_t version_ = 0;
  int retries_left_;
};

}  // namespace pathcleat
