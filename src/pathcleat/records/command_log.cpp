// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/records/command_log.hpp"

#include <array>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cstdio>
#include <utility>

#include "pathcleat/core/binary_codec.hpp"
#include "pathcleat/core/time.hpp"
#include "pathcleat/store/read_row.hpp"

namespace pathcleat {
namespace {

constexpr const char* kPrefix = "config/";
constexpr const char* kPrefixEnd = "config0";  // '0' follows '/'
constexpr int kRowsPerScan = 64;
constexpr int kMaxReadBackRetries = 3;
constexpr std::size_t kMaxKeptChanges = 64;

std::string RowName(std::uint64_t version) {
  std::array<char, 32> digits{};
  std::snprintf(digits.data(), digits.size(), "%020llu",
                static_cast<unsigned long long>(version));
  return std::string(kPrefix) + digits.data();
}

}  // namespace

struct CommandLog::RunCommand {
  ConfigChange change;
  std::function<void(CommandResult)> callback;
};

CommandLog::CommandLog(TableStore& store,
                       EventLog& events,
                       std::function<void()> on_change)
    : store_(store),
      events_(events),
      on_change_(std::move(on_change)),
      log_(kMaxKeptChanges) {}

bool CommandLog::HandleRow(const TableRow& row) {
  if (!row.key.starts_with(kPrefix)) {
    return false;
  }
  if (auto change = DecodeChange(row)) {
    startup_changes_.push_back(std::move(*change));
  }
  return true;
}

void CommandLog::OnRowsRead() {
  loaded_ = true;
  Apply(std::exchange(startup_changes_, {}));
}

std::optional<ConfigChange> CommandLog::DecodeChange(const TableRow& row) {
  auto change = DecodeBinary<ConfigChange>(row.value);
  if (!change) {
    events_.Record(EventCode::kSettingsFault, row.key,
                   "row cannot be decoded as a command; ignored, earlier "
                   "commands stay in force");
  } else if (!IsInRange(change->operation)) {
    events_.Record(EventCode::kSettingsFault, row.key,
                   "a number of the command is out of range; the command has "
                   "no effect");
  }
  return change;
}

void CommandLog::OnPeerVersion(std::uint64_t version) {
  if (version > log_.version() && scan_callbacks_.empty()) {
    Scan([](StoreOutcome) {});
  }
}

void CommandLog::ReadNewer(std::function<void(StoreOutcome)> done) {
  if (scan_callbacks_.empty()) {
    Scan(std::move(done));
    return;
  }
  // The scan that is in flight may have begun before the caller's last event.
  scan_callbacks_.push_back(
      [this, done = std::move(done)](StoreOutcome) { Scan(done); });
}

void CommandLog::Scan(Done done) {
  scan_callbacks_.push_back(std::move(done));
  if (scan_callbacks_.size() == 1) {
    ScanNext();
  }
}

// A scan that stays in the list of those in flight would keep all later ones
// from starting.
template <class Step>
void CommandLog::FinishScanIfThrown(const Step& step) {
  try {
    step();
  } catch (...) {
    FinishScan(StoreOutcome::kNotDone);
    throw;
  }
}

void CommandLog::ScanNext() {
  FinishScanIfThrown([this] {
    store_.Scan(RowName(log_.version() + 1), kPrefixEnd, kRowsPerScan,
                [this](const TableScanResult& scan) {
                  FinishScanIfThrown([this, &scan] { OnScan(scan); });
                });
  });
}

void CommandLog::OnScan(const TableScanResult& scan) {
  if (scan.outcome != StoreOutcome::kDone) {
    FinishScan(scan.outcome);
    return;
  }
  std::vector<ConfigChange> changes;
  for (const TableRow& row : scan.rows) {
    if (auto change = DecodeChange(row)) {
      changes.push_back(std::move(*change));
    }
  }
  const std::uint64_t before = log_.version();
  Apply(changes);
  if (scan.has_more && log_.version() > before) {
    ScanNext();
    return;
  }
  loaded_ = true;
  FinishScan(StoreOutcome::kDone);
}

void CommandLog::FinishScan(StoreOutcome outcome) {
  for (const Done& done : std::exchange(scan_callbacks_, {})) {
    done(outcome);
  }
}

void CommandLog::Apply(const std::vector<ConfigChange>& changes) {
  if (log_.Apply(changes).empty()) {
    return;
  }
  events_.Record(EventCode::kConfigApplied, "commands", "",
                 {IntegerField(field::kConfigVersion, log_.version())});
  on_change_();
}

void CommandLog::Submit(const ConfigOperation& operation,
                        const std::string& command_id,
                        std::function<void(CommandResult)> callback) {
  auto command = std::make_shared<RunCommand>();
  command->change.command_id = command_id;
  command->change.operation = operation;
  command->callback = std::move(callback);
  // The newest version is read first. Otherwise a host that is behind would
  // write to a version that was assigned long ago, and the command would be
  // rejected with a needless conflict.
  Scan([this, command](StoreOutcome outcome) {
    if (outcome != StoreOutcome::kDone) {
      Reject(command,
             {ErrorCode::kUnreachable, "read configuration", "table service",
              "not reached; nothing was changed, try again"});
      return;
    }
    command->change.version = log_.version() + 1;
    command->change.time = events_.clock().Tick(WallMicros());
    Write(command);
  });
}

void CommandLog::Write(const CommandPtr& command) {
  store_.Write(
      RowName(command->change.version), 0, EncodeBinary(command->change),
      [this, command](const TableWriteResult& write) {
        switch (write.outcome) {
          case StoreOutcome::kDone:
            Accept(command);
            return;
          case StoreOutcome::kNotDone:
          case StoreOutcome::kHistoryGone:
            Reject(command, {ErrorCode::kUnreachable, "write configuration",
                             "table service", "not done; nothing changed"});
            return;
          case StoreOutcome::kConflict:
          case StoreOutcome::kUnknown:
            ReadBack(command, kMaxReadBackRetries);
            return;
        }
      });
}

void CommandLog::ReadBack(const CommandPtr& command, int retries_left) {
  ReadRow(
      store_, RowName(command->change.version),
      [this, command, retries_left](const RowReadResult& read) {
        if (read.outcome != StoreOutcome::kDone && retries_left > 0) {
          ReadBack(command, retries_left - 1);
          return;
        }
        const auto change = DecodeBinary<ConfigChange>(read.row.value);
        if (change && change->command_id == command->change.command_id) {
          Accept(command);
          return;
        }
        if (change) {
          events_.Record(EventCode::kConfigConflict, command->change.command_id,
                         "version " + std::to_string(command->change.version) +
                             " went to command " + change->command_id);
          Scan([](StoreOutcome) {});
          Reject(command,
                 {ErrorCode::kConflict, "write configuration", "table service",
                  "version " + std::to_string(command->change.version) +
                      " went to another command (" + change->command_id +
                      "); this command changed nothing: check 'show config' "
                      "and submit it again if it is still needed"});
          return;
        }
        Reject(command,
               {ErrorCode::kUnknown, "write configuration", "table service",
                "outcome unknown, as the answer was lost; check 'show config' "
                "for command " +
                    command->change.command_id});
      });
}

void CommandLog::Accept(const CommandPtr& command) {
  events_.Record(EventCode::kCommandAccepted, command->change.command_id,
                 "as version " + std::to_string(command->change.version));
  Apply({command->change});
  CommandResult result;
  result.accepted = true;
  result.version = command->change.version;
  command->callback(result);
}

void CommandLog::Reject(const CommandPtr& command, Error error) {
  CommandResult result;
  result.error = std::move(error);
  command->callback(result);
}

}  // namespace pathcleat
