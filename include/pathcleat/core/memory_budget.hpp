// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief What a host holds memory for.
/// @ingroup core
enum class MemoryUse : std::uint8_t {
  kConnections,  ///< open connections, with bytes read ahead or not read yet
  kRequests,     ///< requests on their way in or to an upstream
  kAnswers,      ///< answers on their way from an upstream or to a caller
};

inline constexpr std::size_t kMemoryUseCount = 3;

/// @brief Name of a use, as shown on the metrics page.
/// @ingroup core
const char* ToString(MemoryUse use);

/// @brief Counts since the start of the process, by MemoryUse.
/// @ingroup core
using MemoryCounts = std::array<std::uint64_t, kMemoryUseCount>;

class MemoryLease;

/// @brief Bounds the memory that all requests, answers and connections of a
/// host take together. Each of them holds a MemoryLease for its bytes. If a
/// lease cannot grow, the leases that have made no progress for kMinStall are
/// reclaimed, the longest without progress first; if that is not enough, the
/// lease does not grow.
///
/// Large leases of each use may take a share of the limit only, so that small
/// requests always find memory. Must be used in one thread only.
/// @ingroup core
class MemoryBudget {
 public:
  /// Leases of more bytes than this are large.
  static constexpr std::uint64_t kLargeBytes = 64ULL * 1024;
  static constexpr double kLargeRequestShare = 0.75;
  static constexpr double kLargeAnswerShare = 0.875;
  static constexpr double kLargeConnectionShare = 0.5;
  /// Leases with more recent progress are never reclaimed.
  static constexpr Duration kMinStall{500'000};

  /// @param limit in bytes.
  explicit MemoryBudget(std::uint64_t limit) : limit_(limit) {}
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  std::uint64_t limit() const { return limit_; }
  std::uint64_t used() const;
  std::uint64_t used(MemoryUse use) const;

  /// @brief The largest number of bytes that one request can ever get.
  std::uint64_t MaxRequestBytes() const;

  /// @brief How often a lease could not grow.
  const MemoryCounts& refused() const { return refused_; }
  /// @brief How many leases were reclaimed for others.
  const MemoryCounts& reclaimed() const { return reclaimed_; }

 private:
  friend class MemoryLease;
  using Leases = std::list<MemoryLease*>;

  bool Fits(MemoryUse use,
            std::uint64_t added_bytes,
            std::uint64_t lease_bytes) const;
  bool MakeRoom(const MemoryLease& growing,
                std::uint64_t lease_bytes,
                Time now);
  MemoryLease* FindStalled(Leases& leases,
                           const MemoryLease& growing,
                           Time now) const;

  std::uint64_t limit_;
  std::array<std::uint64_t, kMemoryUseCount> used_{};
  MemoryCounts refused_{};
  MemoryCounts reclaimed_{};
  /// Leases that may be reclaimed, the longest without progress first.
  Leases small_leases_;
  Leases large_leases_;
};

using MemoryBudgetPtr = std::shared_ptr<MemoryBudget>;

/// @brief The bytes that one holder takes from a budget. The destructor gives
/// them back. A lease without a budget grows without limit.
/// @ingroup core
class MemoryLease {
 public:
  MemoryLease(MemoryBudgetPtr budget, MemoryUse use)
      : budget_(std::move(budget)), use_(use) {}
  ~MemoryLease();
  MemoryLease(const MemoryLease&) = delete;
  MemoryLease& operator=(const MemoryLease&) = delete;

  std::uint64_t bytes() const { return bytes_; }

  /// @brief Changes the number of bytes. May reclaim other leases.
  /// @return false if the budget has too little memory; nothing changes then.
  bool Resize(std::uint64_t bytes, Time now);

  /// @brief Moves a part of the bytes into a new lease of the same use.
  /// @param bytes at most bytes().
  std::unique_ptr<MemoryLease> Split(std::uint64_t bytes);

  /// @brief Lets the budget reclaim memory of this holder from now on.
  /// @param reclaim called at most once; must release the bytes.
  /// @param releases number of bytes that this releases.
  void AllowReclaim(std::function<void()> reclaim,
                    std::uint64_t releases,
                    Time now);

  /// @brief Revokes AllowReclaim.
  void ForbidReclaim();

  /// @brief Whether the budget may reclaim memory of this holder.
  bool IsReclaimable() const { return position_.has_value(); }

  /// @brief Records progress, such as bytes received or sent. Delays the
  /// reclaim of this lease.
  void MarkProgress(Time now);

 private:
  friend class MemoryBudget;

  MemoryBudgetPtr budget_;
  MemoryUse use_;
  std::uint64_t bytes_ = 0;
  std::function<void()> reclaim_;
  Time progress_at_;
  /// Set while the lease may be reclaimed.
  std::optional<MemoryBudget::Leases::iterator> position_;
  MemoryBudget::Leases* leases_ = nullptr;  ///< the list of position_
};

}  // namespace pathcleat
