// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "pathcleat/calls/idempotency_key_row.hpp"
#include "pathcleat/core/event_log.hpp"
#include "pathcleat/steer/key_claim.hpp"
#include "pathcleat/store/table_store.hpp"

namespace pathcleat {

/// @brief A key that this process has claimed and must settle.
/// @ingroup calls
struct ClaimedKey {
  std::string row_name;
  IdempotencyKeyRow row;
  std::uint64_t version = 0;
};

/// @brief Result of a claim; the action is final (not kPut or kRead).
/// @ingroup calls
struct ClaimResult {
  KeyAction action = KeyAction::kRefuseNotRun;
  ClaimedKey claimed;            ///< for kRun
  HttpResponse stored_response;  ///< for kReplayAnswer
};

/// @brief A request's claim to its idempotency key.
/// @ingroup calls
struct KeyClaimRequest {
  std::string row_name;
  std::uint64_t fingerprint = 0;
  std::uint64_t deadline_wall_micros = 0;
};

/// @brief Keeps idempotency keys in the table service: one conditional write
/// to claim, one to settle. Lives in one thread's event loop.
/// @ingroup calls
class IdempotencyKeyStore {
 public:
  IdempotencyKeyStore(boost::asio::io_context& loop,
                      TableStore& store,
                      EventLog& events);

  /// @brief Claims a key; the callback comes once.
  void Claim(const KeyClaimRequest& request,
             std::function<void(ClaimResult)> callback);

  /// @brief The request ran: keeps its answer for repeats.
  void MarkFinished(ClaimedKey key, const HttpResponse& answer);

  /// @brief The request may have run: it will not be run again.
  void MarkUnknown(ClaimedKey key);

  /// @brief The request was certainly not run: the key may be used again.
  void Release(const ClaimedKey& key);

  /// @brief Settling writes not yet done.
  int pending_writes() const { return pending_; }

 private:
  struct Claiming;
  using ClaimingPtr = std::shared_ptr<Claiming>;

  void Step(const ClaimingPtr& claiming, KeyAction action);
  void Put(const ClaimingPtr& claiming);
  void Read(const ClaimingPtr& claiming);
  void Settle(const ClaimedKey& key, int tries_left);
  void Delete(const ClaimedKey& key, int tries_left);

  void After(std::function<void()> step);

  boost::asio::io_context& loop_;
  TableStore& store_;
  EventLog& events_;
  int pending_ = 0;
};

}  // namespace pathcleat
