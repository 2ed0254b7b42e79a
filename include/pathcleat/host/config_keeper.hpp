// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <QObject>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "pathcleat/core/error.hpp"
#include "pathcleat/host/shared.hpp"
#include "pathcleat/platform/object_store.hpp"
#include "pathcleat/platform/table_store.hpp"
#include "pathcleat/wire/peer_link.hpp"

namespace pathcleat {

/// @brief Outcome of an operator's command.
/// @ingroup host
struct CommandResult {
  bool accepted = false;
  std::uint64_t version = 0;  ///< of the accepted change
  Error error;                ///< if it was not
};

/// @brief Brings configuration changes into the table service and to this
/// host. Change n is one row, written on the condition that there is none, so
/// one of several racing commands wins; hosts learn of a new version from
/// each other and fetch the changes from whom they heard it. Control thread
/// only.
/// @ingroup host
class ConfigKeeper : public QObject {
 public:
  ConfigKeeper(Shared& shared,
               TableStore& table,
               ObjectStore& objects,
               QObject* parent);

  /// @brief Reads the snapshot and the changes after it.
  void LoadFromStore();

  /// @brief Reads changes from the store, if this host is the one of its
  /// failure domain that does; call once a poll period.
  void Poll();

  /// @brief A peer has told of its version.
  void OnPeerVersion(SeatIndex seat, std::uint64_t version);

  /// @brief Writes a change as the next version.
  /// @param command_id unique to the command.
  void Submit(const ConfigOperation& operation,
              const std::string& command_id,
              std::function<void(CommandResult)> callback);

  /// @brief Whether the store has confirmed the version in force since this
  /// process started.
  bool IsAgeKnown() const { return age_known_; }

  /// @brief Told the outcome of each store call.
  void OnStoreCall(std::function<void(StoreOutcome)> listener);

 private:
  struct Command;
  using CommandPtr = std::shared_ptr<Command>;

  void Scan(std::function<void(StoreOutcome)> done);
  void ScanNext();
  void FinishScan(StoreOutcome outcome);
  void Write(const CommandPtr& command);
  void ReadBack(const CommandPtr& command, int tries_left);
  void Accept(const CommandPtr& command);
  void Reject(const CommandPtr& command, Error error);
  void MaybeSnapshot();
  PeerLink* LinkTo(SeatIndex seat);
  void Told(StoreOutcome outcome);

  Shared& shared_;
  TableStore& table_;
  ObjectStore& objects_;
  std::map<SeatIndex, PeerLink*> links_;
  std::map<SeatIndex, Time> asked_;
  std::function<void(StoreOutcome)> on_store_call_;
  std::vector<std::function<void(StoreOutcome)>> scan_waiters_;
  bool age_known_ = false;
};

}  // namespace pathcleat
