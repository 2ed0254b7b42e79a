// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/settings/host_limits.hpp"

#include "pathcleat/core/memory_budget.hpp"

#include <criterion/criterion.h>

namespace pathcleat {
namespace {

// Guards against a host on the smallest machine that cannot hold one body of
// the largest size that configurations allow.
Test(host_limits, smallest_machine_holds_the_largest_body) {
  constexpr std::uint32_t kSmallestMachine = 160;
  constexpr std::uint64_t kLargestBody = 64ULL * 1024 * 1024;
  constexpr std::uint64_t kReceiveBuffers = 1'000'000;
  const MemoryBudget budget(MemoryBudgetBytes(kSmallestMachine));
  cr_assert_gt(budget.MaxRequestBytes(), kLargestBody + kReceiveBuffers);
}

Test(host_limits, memory_budget_leaves_a_fifth_of_the_machine) {
  for (const std::uint32_t memory : {1U, 32U, 160U, 260U, 512U, 1'024U}) {
    const std::uint64_t budget = MemoryBudgetBytes(memory);
    cr_assert_gt(budget, 0U);
    cr_assert_leq(budget, std::uint64_t{memory} * 800'000);
  }
}

// Guards against listeners that together take all descriptors.
Test(host_limits, listeners_leave_descriptors_for_upstreams_and_files) {
  for (const std::uint64_t max : {700U, 1'024U, 4'100U, 20'000U}) {
    const ConnectionLimits limits = DivideDescriptors(max);
    constexpr std::uint64_t kFiles = 200;
    constexpr std::uint64_t kServices = 3;
    cr_assert_lt(limits.callers + limits.locate + limits.peers +
                     kServices * limits.others,
                 max - kFiles);
    cr_assert_gt(limits.callers, 0U);
    cr_assert_gt(limits.locate, 0U);
    cr_assert_gt(limits.peers, 0U);
    cr_assert_gt(limits.others, 0U);
  }
}

Test(host_limits, without_a_known_limit_nothing_is_limited) {
  cr_assert_eq(DivideDescriptors(0).callers, 0U);
  cr_assert_eq(DivideDescriptors(0).others, 0U);
}

}  // namespace
}  // namespace pathcleat
