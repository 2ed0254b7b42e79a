// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// Hosts that decide on the same rollouts at the same time, are killed between
// two steps, or have their writes lost or applied late.

#include "pathcleat/records/rollout_writer.hpp"

#include <deque>
#include <memory>

#include "event_loop.hpp"
#include "property.hpp"

namespace pathcleat {
namespace {

constexpr Duration kTickInterval{250'000};

// What happens to a write.
enum class WriteFault {
  kNone,
  kReplyLost,    ///< applied; the caller is told that the outcome is unknown
  kAppliedLate,  ///< applied by ApplyLateWrites; reply as above
};

// Rows with conditional writes, shared by all hosts.
class SharedRows {
 public:
  TableWriteResult Write(const std::string& key,
                         std::uint64_t expected,
                         const std::string& value) {
    TableRow& row = rows_[key];
    if (row.version != expected) {
      return {StoreOutcome::kConflict, row.version};
    }
    row = {key, expected + 1, value};
    return {StoreOutcome::kDone, row.version};
  }
  std::vector<TableRow> RowsIn(const std::string& from,
                               const std::string& until) const {
    std::vector<TableRow> found;
    for (const auto& [key, row] : rows_) {
      if (key >= from && key < until && row.version > 0) {
        found.push_back(row);
      }
    }
    return found;
  }

 private:
  std::map<std::string, TableRow> rows_;
};

// A host's access to the command log. Calls are answered at once.
class FaultyTable : public TableStore {
 public:
  explicit FaultyTable(SharedRows& rows) : rows_(rows) {}

  void Scan(const std::string& from,
            const std::string& until,
            int,
            std::function<void(TableScanResult)> callback) override {
    if (!reachable) {
      callback({StoreOutcome::kNotDone, {}, false});
      return;
    }
    callback({StoreOutcome::kDone, rows_.RowsIn(from, until), false});
  }
  void Write(const std::string& key,
             std::uint64_t expected,
             const std::string& value,
             std::function<void(TableWriteResult)> callback) override {
    if (!reachable) {
      callback({StoreOutcome::kNotDone, 0});
      return;
    }
    const WriteFault fault = std::exchange(next_write, WriteFault::kNone);
    const auto apply = [this, key, expected, value] {
      return rows_.Write(key, expected, value);
    };
    if (fault == WriteFault::kAppliedLate) {
      late_writes_.push_back(apply);
      callback({StoreOutcome::kUnknown, 0});
      return;
    }
    const TableWriteResult result = apply();
    callback(fault == WriteFault::kNone
                 ? result
                 : TableWriteResult{StoreOutcome::kUnknown, 0});
  }
  void Overwrite(const std::string&,
                 const std::string&,
                 std::function<void(TableWriteResult)>) override {}
  void Delete(const std::string&,
              std::uint64_t,
              std::function<void(TableWriteResult)>) override {}

  void ApplyLateWrites() {
    for (const auto& apply : std::exchange(late_writes_, {})) {
      apply();
    }
  }

  bool reachable = true;
  WriteFault next_write = WriteFault::kNone;

 private:
  SharedRows& rows_;
  std::vector<std::function<TableWriteResult()>> late_writes_;
};

// The operators' rows, shared by all hosts, with every value that was stored.
struct SharedStatuses {
  std::map<std::string, RolloutStatus> rows;
  std::map<std::string, std::uint64_t> versions;
  std::vector<RolloutStatus> history;
};

// A host's access to the operators' rows. Answers wait for AnswerAll.
class FaultyStatusStore : public RolloutStatusStore {
 public:
  explicit FaultyStatusStore(SharedStatuses& shared) : shared_(shared) {}

  void Read(const std::string& service,
            std::function<void(RolloutStatusReadResult)> callback) override {
    const RolloutStatusReadResult result{
        reachable ? StoreOutcome::kDone : StoreOutcome::kNotDone,
        shared_.versions[service], shared_.rows[service]};
    answers_.emplace_back([callback, result] { callback(result); });
  }
  void Write(const RolloutStatus& status,
             std::uint64_t expected,
             std::function<void(TableWriteResult)> callback) override {
    const auto apply = [this, status, expected] {
      std::uint64_t& version = shared_.versions[status.service];
      if (version != expected) {
        return;
      }
      ++version;
      shared_.rows[status.service] = status;
      shared_.history.push_back(status);
    };
    if (std::exchange(next_write, WriteFault::kNone) ==
        WriteFault::kAppliedLate) {
      late_writes_.push_back(apply);
    } else if (reachable) {
      apply();
    }
    answers_.emplace_back([callback] {
      callback({StoreOutcome::kUnknown, 0});
    });
  }

  void AnswerAll() {
    while (!answers_.empty()) {
      const auto answer = answers_.front();
      answers_.pop_front();
      answer();
    }
  }
  void ApplyLateWrites() {
    for (const auto& apply : std::exchange(late_writes_, {})) {
      apply();
    }
  }

  bool reachable = true;
  WriteFault next_write = WriteFault::kNone;

 private:
  SharedStatuses& shared_;
  std::deque<std::function<void()>> answers_;
  std::vector<std::function<void()>> late_writes_;
};

// One host with its own access to the shared rows. Destroying it kills it.
struct Host {
  Host(const std::string& name, SharedRows& rows, SharedStatuses& shared)
      : table(rows), statuses(shared), events(name, 16) {
    writer = std::make_unique<RolloutWriter>(name, commands, statuses, events);
  }

  // One call of RolloutWriter::Tick, with all answers of the store.
  void Tick(const std::vector<ProposedStep>& due = {}, int ahead = 0) {
    writer->Tick(due, ahead, now += kTickInterval);
    statuses.AnswerAll();
  }
  void Decide(RolloutPhase phase, std::uint64_t order = 1) {
    Tick({{MakeStep(phase, order), "a test"}});
  }
  void ReadLog() {
    commands.ReadNewer([](StoreOutcome) {});
  }
  RolloutPhase PhaseOf(const std::string& service) const {
    return commands.state().rollouts.at(service).phase;
  }

  static RolloutStep MakeStep(RolloutPhase phase, std::uint64_t order) {
    return {"s", order, "v" + std::to_string(order + 1), phase, {"v1"}};
  }

  Time now{Duration(1'000'000)};
  FaultyTable table;
  FaultyStatusStore statuses;
  EventLog events;
  CommandLog commands{table, events, [] {}};
  std::unique_ptr<RolloutWriter> writer;
};

struct RacesFixture {
  RacesFixture() { SilenceLog(); }

  std::unique_ptr<Host> Start(const std::string& name) {
    auto host = std::make_unique<Host>(name, rows, statuses);
    host->ReadLog();
    return host;
  }
  RolloutOutcome Stored(const std::string& service = "s") {
    return statuses.rows[service].outcome;
  }

  SharedRows rows;
  SharedStatuses statuses;
};

// Guards against a rollout that stops when the host that decides is killed
// before it writes its decision.
Test(rollout_races, next_host_decides_for_a_killed_one) {
  RacesFixture fixture;
  auto first = fixture.Start("a");
  auto next = fixture.Start("b");
  first->table.reachable = false;
  first->Decide(RolloutPhase::kRunning);
  first.reset();
  for (int i = 0; i < 3; ++i) {
    next->Tick({{Host::MakeStep(RolloutPhase::kRunning, 1), "a test"}}, 1);
  }
  cr_assert(next->PhaseOf("s") == RolloutPhase::kRunning);
  cr_assert_eq(fixture.statuses.history.size(), 1U);
}

// Guards against a decision that operators never see because its host is killed
// after it wrote the decision.
Test(rollout_races, next_host_publishes_for_a_killed_one) {
  RacesFixture fixture;
  auto first = fixture.Start("a");
  auto next = fixture.Start("b");
  first->Decide(RolloutPhase::kRunning);
  first->Decide(RolloutPhase::kRolledBack);
  first->statuses.reachable = false;
  first.reset();
  next->ReadLog();
  for (int i = 0; i < 3; ++i) {
    next->Tick({}, 1);
  }
  cr_assert(fixture.Stored() == RolloutOutcome::kRolledBack);
}

// Guards against a decision that is written twice because its reply was lost.
Test(rollout_races, lost_reply_of_the_log_decides_once) {
  RacesFixture fixture;
  auto host = fixture.Start("a");
  host->table.next_write = WriteFault::kReplyLost;
  host->Decide(RolloutPhase::kRunning);
  host->Tick();
  cr_assert(host->PhaseOf("s") == RolloutPhase::kRunning);
  cr_assert_eq(host->commands.version(), 1U);
}

// Guards against a decision that is applied seconds after it was made and
// replaces the opposite decision, which was made in between.
Test(promise, late_write_of_the_log_changes_no_decision) {
  RacesFixture fixture;
  auto slow = fixture.Start("a");
  auto other = fixture.Start("b");
  slow->Decide(RolloutPhase::kRunning);
  slow->Decide(RolloutPhase::kPromoted);
  slow->table.next_write = WriteFault::kAppliedLate;
  slow->Decide(RolloutPhase::kCompleted);
  other->Decide(RolloutPhase::kRolledBack);
  slow->table.ApplyLateWrites();
  auto restarted = fixture.Start("c");
  for (Host* host : {slow.get(), other.get(), restarted.get()}) {
    host->ReadLog();
    host->Tick();
    cr_assert(host->PhaseOf("s") == RolloutPhase::kRolledBack);
  }
  cr_assert(fixture.Stored() == RolloutOutcome::kRolledBack);
}

// The same, with the late write applied before the opposite decision is made.
Test(promise, late_write_that_comes_first_is_the_decision) {
  RacesFixture fixture;
  auto slow = fixture.Start("a");
  auto other = fixture.Start("b");
  slow->Decide(RolloutPhase::kRunning);
  slow->Decide(RolloutPhase::kPromoted);
  other->ReadLog();
  slow->table.next_write = WriteFault::kAppliedLate;
  slow->Decide(RolloutPhase::kCompleted);
  slow->table.ApplyLateWrites();
  other->Decide(RolloutPhase::kRolledBack);
  for (Host* host : {slow.get(), other.get()}) {
    host->ReadLog();
    host->Tick();
    cr_assert(host->PhaseOf("s") == RolloutPhase::kCompleted);
  }
  cr_assert(fixture.Stored() == RolloutOutcome::kCompleted);
}

// Guards against a final status that becomes "running" again because a host
// missed the decisions, for instance while it was paused, and still publishes
// the status that it knows. Fails without CommandLog::ReadNewer in
// RolloutWriter::OnRead.
Test(promise, host_that_is_behind_reopens_no_final_status) {
  RacesFixture fixture;
  auto decider = fixture.Start("a");
  auto behind = fixture.Start("b");
  decider->Decide(RolloutPhase::kRunning);
  behind->ReadLog();
  decider->Decide(RolloutPhase::kPromoted);
  decider->Decide(RolloutPhase::kCompleted);
  decider->Tick();
  cr_assert(fixture.Stored() == RolloutOutcome::kCompleted);
  for (int i = 0; i < 4; ++i) {
    behind->Tick();
  }
  cr_assert(fixture.Stored() == RolloutOutcome::kCompleted);
  for (std::size_t i = 0; i + 1 < fixture.statuses.history.size(); ++i) {
    cr_assert(fixture.statuses.history[i].outcome == RolloutOutcome::kRunning);
  }
}

// Guards against a status that names the version of a replaced order. Fails
// without CommandLog::ReadNewer in RolloutWriter::OnRead.
Test(promise, host_that_is_behind_names_no_replaced_order) {
  RacesFixture fixture;
  auto decider = fixture.Start("a");
  auto behind = fixture.Start("b");
  decider->Decide(RolloutPhase::kRunning);
  behind->ReadLog();
  decider->Decide(RolloutPhase::kRunning, 2);
  decider->Tick();
  for (int i = 0; i < 4; ++i) {
    behind->Tick();
  }
  cr_assert_str_eq(fixture.statuses.rows["s"].version.c_str(), "v3");
  cr_assert_str_eq(fixture.statuses.history.back().version.c_str(), "v3");
}

// Guards against a status write that the store applies after a newer one, and
// against its sender, which is behind, writing it again. Fails without
// CommandLog::ReadNewer in RolloutWriter::OnRead.
Test(promise, late_status_write_reopens_nothing) {
  RacesFixture fixture;
  auto slow = fixture.Start("a");
  auto other = fixture.Start("b");
  slow->statuses.next_write = WriteFault::kAppliedLate;
  slow->Decide(RolloutPhase::kRunning);
  other->ReadLog();
  other->Decide(RolloutPhase::kRolledBack);
  other->Tick();
  cr_assert(fixture.Stored() == RolloutOutcome::kRolledBack);
  slow->statuses.ApplyLateWrites();
  for (int i = 0; i < 3; ++i) {
    slow->Tick();
    other->Tick();
  }
  cr_assert(fixture.Stored() == RolloutOutcome::kRolledBack);
  cr_assert_eq(fixture.statuses.history.size(), 1U);
}

// Guards against a decision that is forgotten while the store does not answer.
Test(rollout_races, decision_is_made_once_the_store_is_back) {
  RacesFixture fixture;
  auto host = fixture.Start("a");
  host->Decide(RolloutPhase::kRunning);
  host->table.reachable = false;
  host->statuses.reachable = false;
  for (int i = 0; i < 8; ++i) {
    host->Decide(RolloutPhase::kRolledBack);
  }
  cr_assert(host->PhaseOf("s") == RolloutPhase::kRunning);
  host->table.reachable = true;
  host->statuses.reachable = true;
  host->Decide(RolloutPhase::kRolledBack);
  host->Tick();
  cr_assert(fixture.Stored() == RolloutOutcome::kRolledBack);
}

// Guards against a decision that waits for a host that the store refuses, as
// that host is alive and ahead of the others. The store refuses "a" and "b".
Test(rollout_races, hosts_that_the_store_answers_decide) {
  constexpr int kTicks = 6;
  RacesFixture fixture;
  std::vector<std::unique_ptr<Host>> hosts;
  for (const char* name : {"a", "b", "c", "d"}) {
    hosts.push_back(fixture.Start(name));
    hosts.back()->table.reachable = hosts.size() > 2;
    hosts.back()->statuses.reachable = hosts.size() > 2;
  }
  for (int i = 0; i < kTicks; ++i) {
    int ahead = 0;
    for (const auto& host : hosts) {
      host->Tick({{Host::MakeStep(RolloutPhase::kRunning, 1), "a test"}},
                 ahead++);
    }
  }
  cr_assert(fixture.Stored() == RolloutOutcome::kRunning);
  cr_assert_str_eq(fixture.statuses.rows["s"].version.c_str(), "v2");
}

// Guards against the decision on one service that keeps the decision on another
// from being made.
Test(rollout_races, two_services_are_decided_at_once) {
  RacesFixture fixture;
  auto host = fixture.Start("a");
  RolloutStep other = Host::MakeStep(RolloutPhase::kRunning, 1);
  other.service = "t";
  for (int i = 0; i < 3; ++i) {
    host->Tick({{Host::MakeStep(RolloutPhase::kRunning, 1), "a test"},
                {other, "a test"}});
  }
  cr_assert(host->PhaseOf("s") == RolloutPhase::kRunning);
  cr_assert(host->PhaseOf("t") == RolloutPhase::kRunning);
  cr_assert_str_eq(fixture.statuses.rows["s"].service.c_str(), "s");
  cr_assert_str_eq(fixture.statuses.rows["t"].service.c_str(), "t");
}

}  // namespace
}  // namespace pathcleat
