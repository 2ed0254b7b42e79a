// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/host/config_keeper.hpp"

#include <algorithm>
#include <utility>

#include "pathcleat/host/config_row.hpp"
#include "pathcleat/wire/codec.hpp"

namespace pathcleat {
namespace {

constexpr int kRowsAtOnce = 64;
constexpr const char* kSnapshotName = "config-snapshot";
// A snapshot each so many versions bounds what a starting host has to read.
constexpr std::uint64_t kSnapshotEvery = 64;
constexpr int kReadBackTries = 3;
// A peer is asked again at the earliest after this time.
constexpr Duration kAskAgainAfter{200'000};

}  // namespace

struct ConfigKeeper::Command {
  ConfigChange change;
  std::function<void(CommandResult)> callback;
};

ConfigKeeper::ConfigKeeper(Shared& shared,
                           TableStore& table,
                           ObjectStore& objects,
                           QObject* parent)
    : QObject(parent), shared_(shared), table_(table), objects_(objects) {}

void ConfigKeeper::OnStoreCall(std::function<void(StoreOutcome)> listener) {
  on_store_call_ = std::move(listener);
}

void ConfigKeeper::Told(StoreOutcome outcome) {
  if (on_store_call_) {
    on_store_call_(outcome);
  }
}

void ConfigKeeper::LoadFromStore() {
  objects_.ReadObject(kSnapshotName, [this](const ObjectRead& read) {
    Told(read.outcome);
    if (read.outcome == StoreOutcome::kDone) {
      ConfigUpdate update;
      update.state = TryOr([&read] { return DecodeConfigState(read.bytes); },
                           [](const Error&) { return ConfigState{}; });
      shared_.config.Apply(update, ConfigSource::kStore);
    }
    Scan([](StoreOutcome) {});
  });
}

void ConfigKeeper::Poll() {
  const auto candidates = shared_.members.Candidates(BootClock::now());
  const bool reads_for_domain =
      !candidates.empty() && candidates.front() == shared_.settings.seat;
  if (!age_known_ || reads_for_domain) {
    Scan([](StoreOutcome) {});
  }
}

void ConfigKeeper::Scan(std::function<void(StoreOutcome)> done) {
  scan_waiters_.push_back(std::move(done));
  if (scan_waiters_.size() == 1) {
    ScanNext();
  }
}

void ConfigKeeper::ScanNext() {
  table_.Scan(kConfigRowPrefix, ConfigRowName(shared_.config.version()),
              kRowsAtOnce, [this](const TableScan& scan) {
                Told(scan.outcome);
                if (scan.outcome != StoreOutcome::kDone) {
                  FinishScan(scan.outcome);
                  return;
                }
                ConfigUpdate update;
                for (const TableRow& row : scan.rows) {
                  if (const auto change = ChangeFromRow(row.value)) {
                    update.changes.push_back(*change);
                  }
                }
                shared_.config.Apply(update, ConfigSource::kStore);
                if (scan.rows.size() == kRowsAtOnce) {
                  ScanNext();
                  return;
                }
                age_known_ = true;
                FinishScan(StoreOutcome::kDone);
              });
}

void ConfigKeeper::FinishScan(StoreOutcome outcome) {
  for (const auto& done : std::exchange(scan_waiters_, {})) {
    done(outcome);
  }
}

void ConfigKeeper::OnPeerVersion(SeatIndex seat, std::uint64_t version) {
  if (version <= shared_.config.version()) {
    return;
  }
  const Time now = BootClock::now();
  Time& asked = asked_[seat];
  if (now - asked < kAskAgainAfter) {
    return;
  }
  asked = now;
  LinkTo(seat)->Send(PeerMessage(ConfigPull{shared_.config.version()}));
}

PeerLink* ConfigKeeper::LinkTo(SeatIndex seat) {
  PeerLink*& link = links_[seat];
  if (link != nullptr) {
    return link;
  }
  const Seat& target = shared_.settings.deployment.At(seat);
  link = new PeerLink(target.address, target.peer_port,
                      shared_.settings.peer_key, this);
  link->OnMessage(
      [this, target_domain = target.domain](const PeerMessage& message) {
        if (const auto* update = std::get_if<ConfigUpdate>(&message)) {
          const bool sibling = target_domain == shared_.settings.self().domain;
          shared_.config.Apply(*update, sibling ? ConfigSource::kSibling
                                                : ConfigSource::kOtherDomain);
        }
      });
  link->OnClosed([this, seat](const Error&) {
    links_[seat]->deleteLater();
    links_.erase(seat);
  });
  return link;
}

void ConfigKeeper::Submit(const ConfigOperation& operation,
                          const std::string& command_id,
                          std::function<void(CommandResult)> callback) {
  auto command = std::make_shared<Command>();
  command->change.command_id = command_id;
  command->change.operation = operation;
  command->callback = std::move(callback);
  // First the newest version, so that a host that lags does not lose a race
  // that was over long ago.
  Scan([this, command](StoreOutcome outcome) {
    if (outcome != StoreOutcome::kDone) {
      Reject(command,
             {ErrorCode::kUnreachable, "read configuration", "table service",
              "not reached; nothing was changed, try again"});
      return;
    }
    command->change.version = shared_.config.version() + 1;
    command->change.time = shared_.events.clock().Tick(WallMicros());
    Write(command);
  });
}

void ConfigKeeper::Write(const CommandPtr& command) {
  table_.Write(
      ConfigRowName(command->change.version), 0, ToRowValue(command->change),
      [this, command](const TableWrite& write) {
        Told(write.outcome);
        switch (write.outcome) {
          case StoreOutcome::kDone:
            Accept(command);
            return;
          case StoreOutcome::kUnreachable:
            Reject(command, {ErrorCode::kUnreachable, "write configuration",
                             "table service", "not reached; nothing changed"});
            return;
          case StoreOutcome::kConflict:
          case StoreOutcome::kUnknown:
            ReadBack(command, kReadBackTries);
            return;
        }
      });
}

void ConfigKeeper::ReadBack(const CommandPtr& command, int tries_left) {
  table_.Read(
      ConfigRowName(command->change.version),
      [this, command, tries_left](const TableRead& read) {
        Told(read.outcome);
        if (read.outcome != StoreOutcome::kDone && tries_left > 0) {
          ReadBack(command, tries_left - 1);
          return;
        }
        const auto change = ChangeFromRow(read.row.value);
        if (change && change->command_id == command->change.command_id) {
          Accept(command);
          return;
        }
        if (change) {
          shared_.events.Record(
              EventCode::kConfigConflict, command->change.command_id,
              "version " + std::to_string(command->change.version) +
                  " went to command " + change->command_id);
          Scan([](StoreOutcome) {});
          Reject(
              command,
              {ErrorCode::kConflict, "write configuration", "table service",
               "version " + std::to_string(command->change.version) +
                   " went to another command (" + change->command_id +
                   "); nothing of this one was changed: look at 'show config' "
                   "and give it again if it is still wanted"});
          return;
        }
        Reject(command,
               {ErrorCode::kUnknown, "write configuration", "table service",
                "the answer was lost; look at 'show config' for command " +
                    command->change.command_id});
      });
}

void ConfigKeeper::Accept(const CommandPtr& command) {
  ConfigUpdate update;
  update.changes.push_back(command->change);
  shared_.events.Record(
      EventCode::kCommandAccepted, command->change.command_id,
      "as version " + std::to_string(command->change.version));
  shared_.config.Apply(update, ConfigSource::kOperator);
  MaybeSnapshot();
  CommandResult result;
  result.accepted = true;
  result.version = command->change.version;
  command->callback(result);
}

void ConfigKeeper::Reject(const CommandPtr& command, Error error) {
  CommandResult result;
  result.error = std::move(error);
  command->callback(result);
}

void ConfigKeeper::MaybeSnapshot() {
  if (shared_.config.version() % kSnapshotEvery == 0) {
    objects_.WriteObject(kSnapshotName, Encode(shared_.config.WholeState()),
                         [this](StoreOutcome outcome) { Told(outcome); });
  }
}

}  // namespace pathcleat
