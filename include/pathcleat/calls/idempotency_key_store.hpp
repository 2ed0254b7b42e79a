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

/// @brief Result of a claim; the action is final (neither kPut nor kRead).
/// @ingroup calls
struct ClaimResult {
  KeyAction action = KeyAction::kRefuseNotRun;
  ClaimedKey claimed;            ///< set if the action is kRun
  HttpResponse stored_response;  ///< set if the action is kReplayAnswer
};

/// @brief Input of a claim: the row of the idempotency key, and the request's
/// fingerprint and deadline.
/// @ingroup calls
struct KeyClaimRequest {
  std::string row_name;
  std::uint64_t fingerprint = 0;
  std::uint64_t deadline_wall_micros = 0;
};

/// @brief Stores idempotency keys in the table service: a first conditional
/// write claims a key, and a second conditional write settles the key, that is,
/// stores the outcome of the request. Must be used only in the thread of its
/// event loop.
/// @ingroup calls
class IdempotencyKeyStore {
 public:
  IdempotencyKeyStore(boost::asio::io_context& loop,
                      TableStore& store,
                      EventLog& events);

  /// @brief Claims a key; the callback is called once.
  void Claim(const KeyClaimRequest& request,
             std::function<void(ClaimResult)> callback);

  /// @brief Settles the key of a request that ran: stores its answer for
  /// repeated requests.
  void MarkFinished(ClaimedKey key, const HttpResponse& answer);

  /// @brief Settles the key of a request that may have run: the request will
  /// not be run again.
  void MarkUnknown(ClaimedKey key);

  /// @brief Releases the key of a request that certainly did not run: the key
  /// may be used again.
  void Release(const ClaimedKey& key);

  /// @brief Number of writes that settle or release a key and are not done yet.
  int pending_writes() const { return pending_writes_; }

 private:
  struct PendingClaim;
  using PendingClaimPtr = std::shared_ptr<PendingClaim>;

  void Step(const PendingClaimPtr& pending_claim, KeyAction action);
  void Put(const PendingClaimPtr& pending_claim);
  void Read(const PendingClaimPtr& pending_claim);
  void Settle(const ClaimedKey& key, int retries_left);
  void Delete(const ClaimedKey& key, int retries_left);

  void RetryLater(std::function<void()> retry);

  boost::asio::io_context& loop_;
  TableStore& store_;
  EventLog& events_;
  int pending_writes_ = 0;
};

}  // namespace pathcleat
