// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "pathcleat/core/memory_budget.hpp"
#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief The memory that one connection of a server takes from the server's
/// budget: for itself, for the request that it receives and for the answer that
/// it sends. Requests and answers may be given up for others while they make no
/// progress.
/// @ingroup http
class SessionMemory {
 public:
  /// @param budget may be null: there is no limit then.
  explicit SessionMemory(const MemoryBudgetPtr& budget);

  /// @brief Takes the memory of the connection itself.
  /// @param unread_bytes how much the kernel may receive without being read.
  /// @return false if there is no memory; nothing changes then.
  bool ReserveConnection(std::uint64_t unread_bytes);

  /// @brief Takes the memory of a request.
  /// @return false if there is no memory; nothing changes then.
  bool ReserveRequest(std::uint64_t bytes);

  /// @brief Called when a request waits for more bytes: it may be given up from
  /// then on.
  /// @param received bytes that have arrived since the last call.
  /// @param give_up called if the memory is needed for others.
  void AwaitRequest(std::size_t received, const std::function<void()>& give_up);

  /// @brief Called when a request is complete: it is not given up any more.
  /// @return the memory of its body, which is released with the body.
  std::unique_ptr<MemoryLease> TakeBody(std::uint64_t body_bytes);

  void ReleaseRequest();

  /// @brief Takes the memory of an answer.
  /// @param own_bytes memory that the answer takes in addition to a body whose
  /// memory has been taken already.
  /// @param total_bytes all memory of the answer.
  /// @param give_up called if the memory is needed for others.
  /// @return false if there is no memory; nothing changes then.
  bool ReserveAnswer(std::uint64_t own_bytes,
                     std::uint64_t total_bytes,
                     const std::function<void()>& give_up);

  /// @param sent bytes of the current answer that the kernel has taken so far.
  void OnAnswerProgress(std::size_t sent);

  void ReleaseAnswer();

  /// @brief Releases everything; called when the connection is closed.
  void ReleaseAll();

 private:
  MemoryLease connection_;
  MemoryLease request_;
  MemoryLease answer_;
  bool is_request_large_ = false;
  std::size_t received_since_progress_ = 0;
  std::size_t sent_at_progress_ = 0;
};

}  // namespace pathcleat
