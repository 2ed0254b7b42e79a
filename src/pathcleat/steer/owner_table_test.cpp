// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/steer/owner_table.hpp"

#include <map>
#include <set>
#include <vector>

#include "property.hpp"

namespace pathcleat {
namespace {

constexpr ServiceIndex kService{0};
const Time kStart{Duration(1'000'000)};
constexpr Duration kSecond{1'000'000};

WorkItem Item(std::uint64_t sequence,
              Time deadline,
              Priority priority = Priority::kLookup) {
  return {RequestId{1, sequence, 0}, kService, priority, deadline};
}

// Fills an instance's slow-start window, so that all its slots are usable.
void WarmUp(OwnerTable& table, int answers) {
  for (int i = 0; i < answers; ++i) {
    const auto token = table.slots().Acquire(kService, kStart);
    table.Release(*token, SlotUse::kAnswered, Duration(10'000), kStart);
  }
}

// A run of one owner against any events: the upstreams' true load is counted
// apart from the table, as the upstreams would count it.
class OwnerModel {
 public:
  OwnerModel(int instances, int slots, int limit)
      : table_(OwnerOptions{}), slots_(slots), limit_(limit) {
    for (std::uint16_t i = 0; i < instances; ++i) {
      table_.slots().Add({i}, kService, slots, kStart);
    }
    table_.slots().SetTotalLimit(limit);
  }

  void Submit(Priority priority, Duration time_left) {
    Take(table_.Submit(Item(next_++, now_ + time_left, priority), now_));
  }

  // The upstream lets go: only then does its true load fall.
  void Finish(std::size_t which, SlotUse use) {
    if (running_.empty()) {
      return;
    }
    auto entry = running_.begin();
    std::advance(entry, which % running_.size());
    const SlotToken token = entry->second;
    running_.erase(entry);
    Take(table_.Release(token, use, Duration(10'000), now_));
    // A repeated release must not free a second slot.
    Take(table_.Release(token, use, Duration(10'000), now_));
  }

  void Toggle(std::uint16_t instance, bool leaving) {
    table_.slots().SetLeaving({instance}, LeavingSource::kHostList, leaving);
    leaving_[instance] = leaving;
    Take(table_.Dispatch(now_));
  }

  void Reassign(std::uint16_t instance) {
    table_.slots().Remove({instance});
    table_.slots().Add({instance}, kService, slots_, now_);
  }

  void Probe(std::uint16_t instance) {
    if (const auto token = table_.slots().AcquireAt({instance}, now_)) {
      running_.emplace(token->serial, *token);
    }
    Check();
  }

  void Pass(Duration time) {
    now_ += time;
    Take(table_.Dispatch(now_));
  }

 private:
  void Take(const OwnerActions& actions) {
    for (const SlotGrant& grant : actions.grants) {
      RC_ASSERT(!leaving_[grant.token.upstream.value]);
      running_.emplace(grant.token.serial, grant.token);
      RC_ASSERT(decided_.insert(grant.id.sequence).second);
    }
    for (const RefusedWork& refused : actions.refusals) {
      RC_ASSERT(decided_.insert(refused.id.sequence).second);
    }
    Check();
  }

  void Check() {
    std::map<std::uint16_t, int> load;
    for (const auto& [serial, token] : running_) {
      RC_ASSERT(++load[token.upstream.value] <= slots_);
    }
    RC_ASSERT(static_cast<int>(running_.size()) <= limit_);
  }

  OwnerTable table_;
  int slots_;
  int limit_;
  Time now_ = kStart;
  std::uint64_t next_ = 1;
  std::map<std::uint64_t, SlotToken> running_;
  std::map<std::uint16_t, bool> leaving_;
  std::set<std::uint64_t> decided_;
};

// Promises: no routing decision overloads a region; an upstream that is
// leaving gets nothing new. Checked to fail with the slot test in
// SlotTable::Free, the limit in AtTotalLimit, or the leaving test in IsUsable
// switched off.
Test(promise, owner_never_overfills_and_never_feeds_a_leaving_upstream) {
  cr_assert(Holds("in flight <= slots and <= limit for any events", [] {
    const int instances = *rc::gen::inRange(1, 5);
    const int slots = *rc::gen::inRange(1, 4);
    const int limit = *rc::gen::inRange(1, instances * slots + 1);
    OwnerModel model(instances, slots, limit);
    using Step = std::pair<int, unsigned>;
    const auto steps = *rc::gen::container<std::vector<Step>>(
        rc::gen::pair(rc::gen::inRange(0, 12), rc::gen::arbitrary<unsigned>()));
    for (const auto& [step, value] : steps) {
      const auto instance = static_cast<std::uint16_t>(value % instances);
      switch (step) {
        case 0:
          model.Toggle(instance, (value & 64U) != 0);
          break;
        case 1:
          model.Pass(Duration(value % 2'000'000));
          break;
        case 2:
          model.Reassign(instance);
          break;
        case 3:
          model.Probe(instance);
          break;
        case 4:
        case 5:
        case 6:
          model.Finish(value, SlotUse(value % 3));
          break;
        default:
          model.Submit(Priority(value % kPriorityCount),
                       Duration(value % 3'000'000));
      }
    }
  }));
}

Test(owner_table, better_work_displaces_downloads) {
  OwnerOptions options;
  options.max_waiting = 1;
  OwnerTable table(options);
  table.slots().Add({0}, kService, 1, kStart);
  const Time deadline = kStart + kSecond * 10;
  table.Submit(Item(1, deadline), kStart);
  table.Submit(Item(2, deadline, Priority::kDownload), kStart);
  const auto actions =
      table.Submit(Item(3, deadline, Priority::kSubmission), kStart);
  cr_assert_eq(actions.refusals.size(), 1U);
  cr_assert_eq(actions.refusals[0].id.sequence, 2U);
  cr_assert_eq(actions.refusals[0].refusal.reason, RefusalReason::kWaitingFull);
}

Test(owner_table, refuses_at_once_what_would_be_late) {
  OwnerTable table{OwnerOptions{}};
  table.slots().Add({0}, kService, 1, kStart);
  WarmUp(table, 5);
  table.Submit(Item(1, kStart + kSecond), kStart);
  const auto actions = table.Submit(Item(2, kStart + Duration(5'000)), kStart);
  cr_assert_eq(actions.refusals.size(), 1U);
  cr_assert_eq(actions.refusals[0].refusal.reason, RefusalReason::kTooLate);
}

Test(owner_table, drops_a_repeated_request) {
  OwnerTable table{OwnerOptions{}};
  table.slots().Add({0}, kService, 2, kStart);
  cr_assert_eq(table.Submit(Item(1, kStart + kSecond), kStart).grants.size(),
               1U);
  const auto again = table.Submit(Item(1, kStart + kSecond), kStart);
  cr_assert_eq(again.grants.size(), 0U);
  cr_assert_eq(again.refusals[0].refusal.reason, RefusalReason::kDuplicate);
}

Test(owner_table, refuses_waiting_work_when_its_last_instance_goes) {
  OwnerTable table{OwnerOptions{}};
  table.slots().Add({0}, kService, 1, kStart);
  table.Submit(Item(1, kStart + kSecond), kStart);
  table.Submit(Item(2, kStart + kSecond), kStart);
  table.slots().Remove({0});
  const auto actions = table.RefuseOrphans(kStart);
  cr_assert_eq(actions.refusals.size(), 1U);
  cr_assert_eq(actions.refusals[0].id.sequence, 2U);
}

}  // namespace
}  // namespace pathcleat
