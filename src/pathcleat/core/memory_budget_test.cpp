// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/core/memory_budget.hpp"

#include <list>
#include <memory>
#include <utility>
#include <vector>

#include "property.hpp"

namespace pathcleat {
namespace {

constexpr std::uint64_t kLimit = 1'000'000;
constexpr std::uint64_t kLarge = 200'000;
constexpr std::uint64_t kSmall = 10'000;
constexpr Time kStart{std::chrono::seconds(100)};
constexpr Duration kStall = MemoryBudget::kMinStall;

using LeasePtr = std::unique_ptr<MemoryLease>;

struct BudgetFixture {
  MemoryBudgetPtr budget = std::make_shared<MemoryBudget>(kLimit);

  LeasePtr NewLease(MemoryUse use = MemoryUse::kRequests) const {
    return std::make_unique<MemoryLease>(budget, use);
  }

  // A lease that releases its bytes when it is reclaimed.
  LeasePtr Stalling(std::uint64_t bytes, Time since) const {
    LeasePtr lease = NewLease();
    cr_assert(lease->Resize(bytes, since));
    lease->AllowReclaim([raw = lease.get(), since] { raw->Resize(0, since); },
                        bytes, since);
    return lease;
  }
};

// Guards against a few large requests that starve small ones.
Test(memory_budget, large_requests_leave_memory_for_small_ones) {
  BudgetFixture fixture;
  std::vector<LeasePtr> leases;
  do {
    leases.push_back(fixture.NewLease());
  } while (leases.back()->Resize(kLarge, kStart));
  cr_assert_leq(fixture.budget->used(), fixture.budget->MaxRequestBytes());
  const LeasePtr answer = fixture.NewLease(MemoryUse::kAnswers);
  cr_assert(answer->Resize(kLarge / 2, kStart));
  cr_assert_not(answer->Resize(kLarge * 2, kStart));
  const LeasePtr small = fixture.NewLease();
  cr_assert(small->Resize(kSmall, kStart));
}

// Guards against requests that stop short and keep others out.
Test(memory_budget, the_longest_stalled_lease_is_reclaimed_first) {
  BudgetFixture fixture;
  const LeasePtr moving = fixture.Stalling(kLarge, kStart);
  const LeasePtr first = fixture.Stalling(kLarge, kStart);
  const LeasePtr second = fixture.Stalling(kLarge, kStart);
  moving->MarkProgress(kStart + Duration(1));
  const LeasePtr growing = fixture.NewLease();
  cr_assert(growing->Resize(kLarge, kStart + kStall));
  cr_assert_eq(first->bytes(), 0U);
  cr_assert_eq(second->bytes(), kLarge);
  cr_assert(growing->Resize(kLarge * 2, kStart + kStall));
  cr_assert_eq(second->bytes(), 0U);
  cr_assert_eq(moving->bytes(), kLarge);
}

// Guards against requests that make progress and are given up for others.
Test(memory_budget, leases_with_progress_are_not_reclaimed) {
  BudgetFixture fixture;
  std::vector<LeasePtr> leases;
  for (std::uint64_t used = 0; used + kLarge <= kLimit * 3 / 4;
       used += kLarge) {
    leases.push_back(fixture.Stalling(kLarge, kStart));
  }
  const LeasePtr growing = fixture.NewLease();
  cr_assert_not(growing->Resize(kLarge, kStart + kStall - Duration(1)));
  cr_assert_eq(growing->bytes(), 0U);
  const auto requests = static_cast<std::size_t>(MemoryUse::kRequests);
  cr_assert_eq(fixture.budget->refused()[requests], 1U);
  cr_assert_eq(fixture.budget->reclaimed()[requests], 0U);
}

// Guards against a large request that pushes out small ones.
Test(memory_budget, a_large_lease_never_reclaims_small_ones) {
  BudgetFixture fixture;
  std::vector<LeasePtr> leases;
  for (std::uint64_t used = 0; used + kSmall <= kLimit; used += kSmall) {
    leases.push_back(fixture.Stalling(kSmall, kStart));
  }
  const LeasePtr large = fixture.NewLease();
  const Time later = kStart + kStall * 2;
  cr_assert_not(large->Resize(kLarge, later));
  const LeasePtr small = fixture.NewLease();
  cr_assert(small->Resize(kSmall, later));
}

struct UploadResult {
  int completed = 0;
  std::uint64_t wasted_bytes = 0;  ///< received of uploads that were refused
};

// Uploads that all arrive evenly and take more than the budget together. Each
// reserves its size at once, or its bytes as they arrive.
UploadResult UploadAll(bool reserves_at_once) {
  constexpr int kUploads = 10;
  constexpr std::uint64_t kStep = kLarge / 20;
  BudgetFixture fixture;
  UploadResult result;
  std::list<std::pair<LeasePtr, std::uint64_t>> uploads;
  for (int i = 0; i < kUploads; ++i) {
    LeasePtr lease = fixture.NewLease();
    if (!reserves_at_once || lease->Resize(kLarge, kStart)) {
      uploads.emplace_back(std::move(lease), 0);
    }
  }
  while (!uploads.empty()) {
    for (auto at = uploads.begin(); at != uploads.end();) {
      auto& [lease, received] = *at;
      const bool granted =
          reserves_at_once || lease->Resize(received + kStep, kStart);
      received += granted ? kStep : 0;
      result.completed += received == kLarge ? 1 : 0;
      result.wasted_bytes += granted ? 0 : received;
      at = !granted || received == kLarge ? uploads.erase(at) : std::next(at);
    }
  }
  return result;
}

// Guards against uploads that are refused only after much of them was sent.
Test(memory_budget, reserving_announced_sizes_wastes_no_upload) {
  const UploadResult at_once = UploadAll(true);
  const UploadResult as_received = UploadAll(false);
  cr_log_info("at once: %d completed, %llu bytes wasted; as received: %d, %llu",
              at_once.completed,
              static_cast<unsigned long long>(at_once.wasted_bytes),
              as_received.completed,
              static_cast<unsigned long long>(as_received.wasted_bytes));
  cr_assert_geq(at_once.completed, as_received.completed);
  cr_assert_eq(at_once.wasted_bytes, 0U);
}

// Guards against bytes that are counted twice, or never given back.
Test(memory_budget, property_used_is_the_sum_of_all_leases) {
  cr_assert(Holds("sum", [](const std::vector<std::pair<int, int>>& steps) {
    BudgetFixture fixture;
    std::vector<LeasePtr> leases;
    for (const auto& [kind, amount] : steps) {
      const auto bytes = static_cast<std::uint64_t>(std::abs(amount)) * 1'000;
      if (kind % 4 == 0 || leases.empty()) {
        leases.push_back(fixture.NewLease());
      } else if (kind % 4 == 1) {
        leases.back()->Resize(bytes, kStart);
      } else if (kind % 4 == 2) {
        leases.push_back(leases.back()->Split(bytes));
      } else {
        leases.erase(leases.begin());
      }
      std::uint64_t sum = 0;
      for (const LeasePtr& lease : leases) {
        sum += lease->bytes();
      }
      RC_ASSERT(fixture.budget->used() == sum);
      RC_ASSERT(sum <= kLimit);
    }
    leases.clear();
    RC_ASSERT(fixture.budget->used() == 0U);
  }));
}

}  // namespace
}  // namespace pathcleat
