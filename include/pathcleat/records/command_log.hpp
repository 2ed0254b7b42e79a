// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "pathcleat/core/error.hpp"
#include "pathcleat/core/event_log.hpp"
#include "pathcleat/steer/config_log.hpp"
#include "pathcleat/store/table_store.hpp"

namespace pathcleat {

/// @brief What became of an operator's command.
/// @ingroup records
struct CommandResult {
  bool accepted = false;
  std::uint64_t version = 0;  ///< for an accepted command
  Error error;                ///< for any other
};

/// @brief The operators' commands: change n is one row of the store, written
/// only if there is none, so that of two conflicting commands one is told of
/// the other. Hosts learn from each other's heartbeats that there are newer
/// ones and read them from the store.
/// @ingroup records
class CommandLog {
 public:
  /// @param on_change called when newer commands are in force.
  CommandLog(TableStore& store,
             EventLog& events,
             std::function<void()> on_change);

  /// @brief A row that was read at the start.
  /// @return whether it is one of the commands' rows.
  bool HandleRow(const TableRow& row);

  /// @brief All rows have been read: the commands among them come into force.
  void OnRowsRead();

  /// @brief A peer has this version in force.
  void OnPeerVersion(std::uint64_t version);

  void Submit(const ConfigOperation& operation,
              const std::string& command_id,
              std::function<void(CommandResult)> callback);

  const ConfigState& state() const { return log_.state(); }
  std::uint64_t version() const { return log_.version(); }

  /// @brief Whether the store has been read since the start.
  bool IsLoaded() const { return known_; }

 private:
  struct RunCommand;
  using CommandPtr = std::shared_ptr<RunCommand>;
  using Done = std::function<void(StoreOutcome)>;

  std::optional<ConfigChange> ChangeIn(const TableRow& row);
  void Scan(Done done);
  void ScanNext();
  void OnScan(const TableScanResult& scan);
  void FinishScan(StoreOutcome outcome);
  void Write(const CommandPtr& command);
  void ReadBack(const CommandPtr& command, int tries_left);
  void Accept(const CommandPtr& command);
  void Reject(const CommandPtr& command, Error error);
  void Apply(const std::vector<ConfigChange>& changes);

  TableStore& store_;
  EventLog& events_;
  std::function<void()> on_change_;
  std::vector<ConfigChange> read_;  ///< rows of the start, not in force yet
  ConfigLog log_;
  std::vector<Done> waiters_;
  bool known_ = false;
};

}  // namespace pathcleat
