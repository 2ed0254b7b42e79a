// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/records/rollout_writer.hpp"

#include "event_loop.hpp"
#include "property.hpp"

namespace pathcleat {
namespace {

constexpr Duration kTurn{250'000};

// The command log's rows, written if there is none, answered at once.
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

// The operators' row, answered when the test says so.
class SlowStatuses : public RolloutStatusStore {
 public:
  void Read(const std::string&,
            std::function<void(RolloutStatusReadResult)> callback) override {
    waiting.push_back([this, callback] {
      callback({StoreOutcome::kDone, version, status});
    });
  }
  void Write(const RolloutStatus& wanted,
             std::uint64_t expected,
             std::function<void(TableWriteResult)> callback) override {
    waiting.push_back([this, wanted, expected, callback] {
      if (lost > 0 || expected != version) {
        --lost;
        callback({StoreOutcome::kUnknown, 0});
        return;
      }
      status = wanted;
      ++version;
      callback({StoreOutcome::kDone, version});
    });
  }
  void AnswerAll() {
    while (!waiting.empty()) {
      for (const auto& answer : std::exchange(waiting, {})) {
        answer();
      }
    }
  }

  RolloutStatus status;
  std::uint64_t version = 0;
  int lost = 0;  ///< writes to come that are not done
  std::vector<std::function<void()>> waiting;
};

struct WriterWorld {
  WriterWorld() { SilenceLog(); }

  void Decide(RolloutPhase phase) {
    const RolloutStep step{"s", 1, "v2", phase, {}};
    writer.Tick({{step, "a test"}}, 0, now += kTurn);
  }
  void Tick() { writer.Tick({}, 0, now += kTurn); }

  Time now{Duration(1'000'000)};
  FakeTable table;
  SlowStatuses statuses;
  EventLog events{"host", 16};
  CommandLog commands{table, events, [] {}};
  RolloutWriter writer{"host", commands, statuses, events};
};

Test(rollout_writer, decision_is_in_force_and_told) {
  WriterWorld world;
  world.Decide(RolloutPhase::kRunning);
  world.Tick();
  world.statuses.AnswerAll();
  cr_assert(world.statuses.status ==
            (RolloutStatus{"s", "v2", RolloutOutcome::kRunning}));
}

// The store answers a question of before a decision only after it. Seen to fail
// while that answer counted for the decision: the operators never heard of it.
Test(rollout_writer, late_answer_does_not_hide_a_newer_decision) {
  WriterWorld world;
  world.Decide(RolloutPhase::kRunning);
  world.Tick();
  world.statuses.AnswerAll();
  world.Tick();
  world.Decide(RolloutPhase::kRolledBack);
  world.Tick();
  world.statuses.AnswerAll();
  world.Tick();
  world.statuses.AnswerAll();
  world.Tick();
  world.statuses.AnswerAll();
  cr_assert(world.statuses.status ==
            (RolloutStatus{"s", "v2", RolloutOutcome::kRolledBack}));
}

Test(rollout_writer, write_that_is_not_done_is_repeated) {
  WriterWorld world;
  world.statuses.lost = 2;
  world.Decide(RolloutPhase::kRunning);
  for (int i = 0; i < 4; ++i) {
    world.Tick();
    world.statuses.AnswerAll();
  }
  cr_assert_eq(world.statuses.version, 1U);
}

}  // namespace
}  // namespace pathcleat
