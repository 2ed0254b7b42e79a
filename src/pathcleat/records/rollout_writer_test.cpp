// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/records/rollout_writer.hpp"

#include "event_loop.hpp"
#include "property.hpp"

namespace pathcleat {
namespace {

constexpr Duration kTickInterval{250'000};

// A store table with the rows of the command log. A row is written only if it
// does not exist; calls are answered at once.
class FakeTable : public TableStore {
 public:
  void Scan(const std::string& from,
            const std::string& until,
            int,
            std::function<void(TableScanResult)> callback) override {
    TableScanResult scan{StoreOutcome::kDone, {}, false};
    for (const auto& [key, row] : rows) {
      if (key >= from && key < until) {
        scan.rows.push_back(row);
      }
    }
    callback(scan);
  }
  void Write(const std::string& key,
             std::uint64_t,
             const std::string& value,
             std::function<void(TableWriteResult)> callback) override {
    const bool added = rows.try_emplace(key, TableRow{key, 1, value}).second;
    callback({added ? StoreOutcome::kDone : StoreOutcome::kConflict, 1});
  }
  void Overwrite(const std::string&,
                 const std::string&,
                 std::function<void(TableWriteResult)>) override {}
  void Delete(const std::string&,
              std::uint64_t,
              std::function<void(TableWriteResult)>) override {}

  std::map<std::string, TableRow> rows;
};

// The operators' status row; calls are answered when the test calls AnswerAll.
class FakeStatusStore : public RolloutStatusStore {
 public:
  void Read(const std::string&,
            std::function<void(RolloutStatusReadResult)> callback) override {
    pending_calls.push_back([this, callback] {
      callback({StoreOutcome::kDone, version, status});
    });
  }
  void Write(const RolloutStatus& wanted,
             std::uint64_t expected,
             std::function<void(TableWriteResult)> callback) override {
    pending_calls.push_back([this, wanted, expected, callback] {
      if (failing_writes > 0 || expected != version) {
        --failing_writes;
        callback({StoreOutcome::kUnknown, 0});
        return;
      }
      status = wanted;
      ++version;
      callback({StoreOutcome::kDone, version});
    });
  }
  void AnswerAll() {
    while (!pending_calls.empty()) {
      for (const auto& call : std::exchange(pending_calls, {})) {
        call();
      }
    }
  }

  RolloutStatus status;
  std::uint64_t version = 0;
  int failing_writes = 0;  ///< number of next writes that fail
  std::vector<std::function<void()>> pending_calls;
};

struct RolloutWriterFixture {
  RolloutWriterFixture() { SilenceLog(); }

  void Decide(RolloutPhase phase) {
    const RolloutStep step{"s", 1, "v2", phase, {}};
    writer.Tick({{step, "a test"}}, 0, now += kTickInterval);
  }
  void Tick() { writer.Tick({}, 0, now += kTickInterval); }

  Time now{Duration(1'000'000)};
  FakeTable table;
  FakeStatusStore statuses;
  EventLog events{"host", 16};
  CommandLog commands{table, events, [] {}};
  RolloutWriter writer{"host", commands, statuses, events};
};

Test(rollout_writer, decision_is_in_force_and_published) {
  RolloutWriterFixture fixture;
  fixture.Decide(RolloutPhase::kRunning);
  fixture.Tick();
  fixture.statuses.AnswerAll();
  cr_assert(fixture.statuses.status ==
            (RolloutStatus{"s", "v2", RolloutOutcome::kRunning}));
}

// The status is read before a decision, and the store answers after the
// decision. Fails if that answer is used for the newer decision, because the
// status of the newer decision is then never stored.
Test(rollout_writer, late_answer_does_not_hide_a_newer_decision) {
  RolloutWriterFixture fixture;
  fixture.Decide(RolloutPhase::kRunning);
  fixture.Tick();
  fixture.statuses.AnswerAll();
  fixture.Tick();
  fixture.Decide(RolloutPhase::kRolledBack);
  fixture.Tick();
  fixture.statuses.AnswerAll();
  fixture.Tick();
  fixture.statuses.AnswerAll();
  fixture.Tick();
  fixture.statuses.AnswerAll();
  cr_assert(fixture.statuses.status ==
            (RolloutStatus{"s", "v2", RolloutOutcome::kRolledBack}));
}

Test(rollout_writer, write_that_is_not_done_is_repeated) {
  RolloutWriterFixture fixture;
  fixture.statuses.failing_writes = 2;
  fixture.Decide(RolloutPhase::kRunning);
  for (int i = 0; i < 4; ++i) {
    fixture.Tick();
    fixture.statuses.AnswerAll();
  }
  cr_assert_eq(fixture.statuses.version, 1U);
}

}  // namespace
}  // namespace pathcleat
