// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <set>
#include <string>
#include <string_view>
#include <variant>

#include "pathcleat/core/error.hpp"
#include "pathcleat/steer/config_change.hpp"

namespace pathcleat {

/// @brief Names that commands may refer to.
/// @ingroup query
struct ValidNames {
  std::set<std::string> services;
  std::set<std::string> regions;
  std::set<std::string> upstreams;
};

/// @brief The command "where SERVICE from CLIENT-IP".
/// @ingroup query
struct WhereQuery {
  std::string service;
  std::string caller;  ///< the caller's IPv4 address
};

/// @brief The command "why REQUEST-ID".
/// @ingroup query
struct WhyQuery {
  std::string request_id;
};

/// @brief Topics of the command "show".
/// @ingroup query
enum class ShowTopic {
  kHosts,
  kUpstreams,
  kShifts,
  kConfig,
  kMetrics,
  kAccounts,
  kRollouts
};

/// @brief The command "show TOPIC".
/// @ingroup query
struct ShowQuery {
  ShowTopic topic = ShowTopic::kHosts;
};

/// @brief The command "rollouts".
/// @ingroup query
struct RolloutsQuery {};

/// @brief The command "rollout SERVICE".
/// @ingroup query
struct RolloutQuery {
  std::string service;
};

/// @brief The command "account NAME".
/// @ingroup query
struct AccountQuery {
  std::string name;
};

/// @brief The command "help".
/// @ingroup query
struct HelpQuery {};

/// @brief A command that changes the configuration.
/// @ingroup query
struct ChangeCommand {
  ConfigOperation operation;
};

/// @brief Any parsed operator command.
/// @ingroup query
using OperatorCommand = std::variant<WhereQuery,
                                     WhyQuery,
                                     ShowQuery,
                                     AccountQuery,
                                     RolloutsQuery,
                                     RolloutQuery,
                                     HelpQuery,
                                     ChangeCommand>;

/// @brief Grammar of the operator commands, printed by "help".
/// @ingroup query
std::string_view CommandHelp();

/// @brief Parses one operator command.
/// @param names the services, regions and upstreams that `text` may refer to.
/// @return the command; kInvalid with the position of the first wrong word and
/// what was expected there.
/// @ingroup query
Result<OperatorCommand> ParseCommand(const ValidNames& names,
                                     std::string_view text);

}  // namespace pathcleat
