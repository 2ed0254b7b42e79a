// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/steer/key_claim.hpp"

#include <map>
#include <optional>
#include <vector>

#include "property.hpp"

namespace pathcleat {
namespace {

struct Row {
  std::uint64_t version = 0;
  ObservedKey key;
};

// The answer that the caller received for one attempt.
enum class CallerResult { kNothing, kNotRun, kOtherAnswer };

// Simulates one key that callers use at several entry hosts. The store delays
// writes, loses answers after a write, and becomes unreachable. Hosts crash
// between any two steps, and requests are lost before or after they ran.
class KeySimulation {
 public:
  void StartAttempt() {
    Attempt attempt{KeyClaim("token-" + std::to_string(attempts_.size()), 1),
                    KeyAction::kPut, CallerResult::kNothing, false};
    attempts_.push_back(attempt);
  }

  void Step(std::size_t which, unsigned choice) {
    if (attempts_.empty()) {
      return;
    }
    Attempt& attempt = attempts_[which % attempts_.size()];
    if (attempt.crashed || attempt.result != CallerResult::kNothing) {
      return;
    }
    if (choice % 17 == 0) {
      attempt.crashed = true;
      return;
    }
    switch (attempt.next) {
      case KeyAction::kPut:
        Put(attempt, choice);
        break;
      case KeyAction::kRead:
        Read(attempt, choice);
        break;
      case KeyAction::kRun:
        Run(attempt, choice);
        break;
      case KeyAction::kRefuseNotRun:
        attempt.result = CallerResult::kNotRun;
        break;
      default:
        attempt.result = CallerResult::kOtherAnswer;
    }
    Check();
  }

  // Applies a delayed write now.
  void DeliverDelayed() {
    if (!delayed_.empty()) {
      Write(delayed_.back());
      delayed_.pop_back();
    }
  }

 private:
  struct Attempt {
    KeyClaim claim;
    KeyAction next;
    CallerResult result;
    bool crashed;
    int runs = 0;
  };

  bool Write(const KeyClaim& claim) {
    if (row_.version != 0) {
      return false;
    }
    row_.version = ++next_version_;
    row_.key = {row_.version, KeyState::kRunning, claim.token(),
                claim.fingerprint(), false};
    return true;
  }

  void Put(Attempt& attempt, unsigned choice) {
    switch (choice % 5) {
      case 0:  // Refused before the write.
        attempt.next = attempt.claim.OnPut(StoreOutcome::kNotDone, 0);
        return;
      case 1:  // Written, and the answer lost.
        Write(attempt.claim);
        attempt.next = attempt.claim.OnPut(StoreOutcome::kUnknown, 0);
        return;
      case 2:  // Write delayed.
        delayed_.push_back(attempt.claim);
        attempt.next = attempt.claim.OnPut(StoreOutcome::kUnknown, 0);
        return;
      default:
        attempt.next =
            Write(attempt.claim)
                ? attempt.claim.OnPut(StoreOutcome::kDone, row_.version)
                : attempt.claim.OnPut(StoreOutcome::kConflict, 0);
    }
  }

  void Read(Attempt& attempt, unsigned choice) {
    if (choice % 4 == 0) {
      attempt.next = KeyClaim::OnReadFailed();
      return;
    }
    ObservedKey seen = row_.key;
    seen.version = row_.version;
    seen.is_overdue = choice % 3 == 0;
    attempt.next = attempt.claim.OnRead(seen);
  }

  // The owner of the claim sends the request once and then updates the row.
  void Run(Attempt& attempt, unsigned choice) {
    const bool certainly_not_run = choice % 6 == 0;
    if (certainly_not_run) {
      attempt.result = CallerResult::kNotRun;
      // The host deletes the row only if the row still has the claim's version.
      if (row_.version == attempt.claim.version()) {
        row_ = {};
      }
      return;
    }
    ++attempt.runs;
    ++runs_;
    attempt.result = CallerResult::kOtherAnswer;
    if (choice % 2 == 0 && row_.version == attempt.claim.version()) {
      row_.version = ++next_version_;
      row_.key.state =
          choice % 4 == 0 ? KeyState::kFinished : KeyState::kUnknown;
    }
  }

  void Check() const {
    RC_ASSERT(runs_ <= 1);
    for (const Attempt& attempt : attempts_) {
      RC_ASSERT(!(attempt.result == CallerResult::kNotRun && attempt.runs > 0));
    }
  }

  Row row_;
  std::uint64_t next_version_ = 0;
  std::vector<Attempt> attempts_;
  std::vector<KeyClaim> delayed_;
  int runs_ = 0;
};

// Promises: a request that may not be repeated runs at most once, and a caller
// that receives "not run" can rely on it. Fails if a put without an answer is
// considered done, if an overdue running row is claimed again, or if OnRead
// does not compare the token.
Test(promise, keyed_request_runs_at_most_once) {
  cr_assert(Holds("any order of loss, delay, crash and repeat", [] {
    KeySimulation simulation;
    using Event = std::pair<int, unsigned>;
    const auto events = *rc::gen::container<std::vector<Event>>(
        rc::gen::pair(rc::gen::inRange(0, 10), rc::gen::arbitrary<unsigned>()));
    for (const auto& [event, value] : events) {
      if (event == 0) {
        simulation.StartAttempt();
      } else if (event == 1) {
        simulation.DeliverDelayed();
      } else {
        simulation.Step(value / 1'000, value);
      }
    }
  }));
}

Test(key_claim, own_put_with_lost_answer_is_read_back) {
  KeyClaim claim("mine", 7);
  cr_assert_eq(claim.OnPut(StoreOutcome::kUnknown, 0), KeyAction::kRead);
  const ObservedKey row{3, KeyState::kRunning, "mine", 7, false};
  cr_assert_eq(claim.OnRead(row), KeyAction::kRun);
  cr_assert_eq(claim.version(), 3U);
}

Test(key_claim, key_used_for_another_request_is_refused) {
  KeyClaim claim("mine", 7);
  claim.OnPut(StoreOutcome::kConflict, 0);
  const ObservedKey row{3, KeyState::kFinished, "theirs", 8, false};
  cr_assert_eq(claim.OnRead(row), KeyAction::kAnswerMismatch);
}

Test(key_claim, request_is_refused_if_the_store_never_answers) {
  KeyClaim claim("mine", 7);
  cr_assert_eq(claim.OnPut(StoreOutcome::kUnknown, 0), KeyAction::kRead);
  cr_assert_eq(KeyClaim::OnReadFailed(), KeyAction::kRefuseNotRun);
}

}  // namespace
}  // namespace pathcleat
