// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <map>
#include <string>

#include "pathcleat/core/event_log.hpp"
#include "pathcleat/records/command_log.hpp"
#include "pathcleat/rollouts/rollout_control.hpp"
#include "pathcleat/store/rollout_status.hpp"

namespace pathcleat {

/// @brief Brings decisions on rollouts into the command log, and what is
/// decided to the operators. Every host may do both: of two decisions that
/// contradict each other the log keeps the first, and a status is written on
/// the condition that it is the one that was read. So a writer that is killed
/// at any point is stood in for, and an answer that was lost does no harm.
/// @ingroup records
class RolloutWriter {
 public:
  RolloutWriter(const std::string& host,
                CommandLog& commands,
                RolloutStatusStore& statuses,
                EventLog& events);

  /// @brief Decides what is due, and tells what is decided. Call a few times a
  /// second.
  /// @param ahead how many living hosts would do this before this one: each of
  /// them is given some time.
  void Tick(const std::vector<ProposedStep>& due, int ahead, Time now);

 private:
  // What operators should read of one service, and whether they do.
  struct ToldStatus {
    Time since;
    bool asking = false;  ///< the store has not answered yet
    bool told = false;
    std::uint64_t order = 0;
    RolloutPhase phase = RolloutPhase::kRunning;
  };

  void Decide(const ProposedStep& due);
  void Tell(const std::string& service, const RolloutState& state);
  bool IsCurrent(const RolloutStatus& wanted) const;
  void OnRead(const RolloutStatus& wanted, const RolloutStatusReadResult& read);

  std::string host_;
  CommandLog& commands_;
  RolloutStatusStore& statuses_;
  EventLog& events_;
  std::map<std::string, Time> due_since_;   ///< by service
  std::map<std::string, ToldStatus> told_;  ///< by service
  bool deciding_ = false;
  std::uint64_t next_command_ = 1;
};

}  // namespace pathcleat
