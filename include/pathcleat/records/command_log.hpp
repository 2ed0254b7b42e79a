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

/// @brief The outcome of an operator's command.
/// @ingroup records
struct CommandResult {
  bool accepted = false;
  std::uint64_t version = 0;  ///< configuration version, if accepted
  Error error;                ///< the reason, if not accepted
};

/// @brief The log of operators' commands. Change number n is one row of the
/// store and is written only if that row does not exist, so that of two
/// conflicting commands one is rejected with a reference to the other. Hosts
/// see in each other's heartbeats that there are newer commands and read them
/// from the store.
/// @ingroup records
class CommandLog {
 public:
  /// @param on_change called when newer commands have come into force.
  CommandLog(TableStore& store,
             EventLog& events,
             std::function<void()> on_change);

  /// @brief Handles a row that was read at startup.
  /// @return whether the row is a command.
  bool HandleRow(const TableRow& row);

  /// @brief Applies the commands among the rows read at startup, once all rows
  /// have been read.
  void OnRowsRead();

  /// @brief Reads newer commands from the store if a peer has a newer version
  /// in force.
  void OnPeerVersion(std::uint64_t version);

  /// @brief Reads newer commands from the store, with a read that begins after
  /// this call.
  /// @param done called once, after the commands have come into force.
  void ReadNewer(std::function<void(StoreOutcome)> done);

  /// @brief Writes a command to the store as the next change.
  /// @param callback called once with the outcome.
  void Submit(const ConfigOperation& operation,
              const std::string& command_id,
              std::function<void(CommandResult)> callback);

  const ConfigState& state() const { return log_.state(); }
  std::uint64_t version() const { return log_.version(); }

  /// @brief Whether the commands have been read from the store since startup.
  bool IsLoaded() const { return loaded_; }

 private:
  struct RunCommand;
  using CommandPtr = std::shared_ptr<RunCommand>;
  using Done = std::function<void(StoreOutcome)>;

  std::optional<ConfigChange> DecodeChange(const TableRow& row);
  void Scan(Done done);
  template <class Step>
  void FinishScanIfThrown(const Step& step);
  void ScanNext();
  void OnScan(const TableScanResult& scan);
  void FinishScan(StoreOutcome outcome);
  void Write(const CommandPtr& command);
  void ReadBack(const CommandPtr& command, int retries_left);
  void Accept(const CommandPtr& command);
  void Reject(const CommandPtr& command, Error error);
  void Apply(const std::vector<ConfigChange>& changes);

  TableStore& store_;
  EventLog& events_;
  std::function<void()> on_change_;
  std::vector<ConfigChange> startup_changes_;  ///< read, but not applied yet
  ConfigLog log_;
  std::vector<Done> scan_callbacks_;
  bool loaded_ = false;
};

}  // namespace pathcleat
