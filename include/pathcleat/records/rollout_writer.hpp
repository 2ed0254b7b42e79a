// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <map>
#include <string>

#include "pathcleat/core/event_log.hpp"
#include "pathcleat/records/command_log.hpp"
#include "pathcleat/rollouts/rollout_control.hpp"
#include "pathcleat/store/rollout_status.hpp"

namespace pathcleat {

/// @brief Writes decisions on rollouts to the command log, and the resulting
/// status to the store for the operators. Every host may do both: of two
/// contradicting decisions the log keeps the first, and a status is written
/// only if the stored one is still the one that was read. So another host can
/// continue the work of a host that is killed at any point, and a lost answer
/// of the store is harmless.
/// @ingroup records
class RolloutWriter {
 public:
  RolloutWriter(const std::string& host,
                CommandLog& commands,
                RolloutStatusStore& statuses,
                EventLog& events);

  /// @brief Submits the decisions that are due and publishes the status of
  /// rollouts. Call this a few times a second.
  /// @param ahead number of living hosts that should act before this host. This
  /// host waits for a time proportional to `ahead`, so that they can do so.
  void Tick(const std::vector<ProposedStep>& due, int ahead, Time now);

 private:
  // The status of a service's rollout for operators, and whether it is stored.
  struct PublishedStatus {
    Time since;
    bool in_flight = false;  ///< a call to the store is in flight
    bool published = false;
    std::uint64_t order = 0;
    RolloutPhase phase = RolloutPhase::kRunning;
  };

  void Decide(const ProposedStep& due);
  void Publish(const std::string& service, const RolloutState& state);
  bool IsCurrent(const RolloutStatus& wanted) const;
  void OnRead(const RolloutStatus& wanted, const RolloutStatusReadResult& read);
  void Store(const RolloutStatus& wanted, std::uint64_t expected_version);

  std::string host_;
  CommandLog& commands_;
  RolloutStatusStore& statuses_;
  EventLog& events_;
  std::map<std::string, Time> due_since_;             ///< by service
  std::map<std::string, PublishedStatus> published_;  ///< by service
  bool decision_in_flight_ = false;
  std::uint64_t next_command_number_ = 1;
};

}  // namespace pathcleat
