// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <set>
#include <string>
#include <string_view>
#include <variant>

#include "pathcleat/core/error.hpp"
#include "pathcleat/steer/config_change.hpp"

namespace pathcleat {

/// @brief The names that commands may use.
/// @ingroup query
struct ValidNames {
  std::set<std::string> services;
  std::set<std::string> regions;
  std::set<std::string> upstreams;
};

/// @brief "where SERVICE from CLIENT-IP"
/// @ingroup query
struct WhereQuery {
  std::string service;
  std::string caller;
};

/// @brief "why REQUEST-ID"
/// @ingroup query
struct WhyQuery {
  std::string request_id;
};

/// @brief What "show" can show.
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

/// @brief "show TOPIC"
/// @ingroup query
struct ShowQuery {
  ShowTopic topic = ShowTopic::kHosts;
};

/// @brief "account NAME"
/// @ingroup query
struct AccountQuery {
  std::string name;
};

/// @brief "help"
/// @ingroup query
struct HelpQuery {};

/// @brief A command that changes the configuration.
/// @ingroup query
struct ChangeCommand {
  ConfigOperation operation;
};

/// @brief Anything an operator can say.
/// @ingroup query
using OperatorCommand = std::variant<WhereQuery,
                                     WhyQuery,
                                     ShowQuery,
                                     AccountQuery,
                                     HelpQuery,
                                     ChangeCommand>;

/// @brief The language's grammar, for "help".
/// @ingroup query
std::string_view CommandHelp();

/// @brief Reads one command; names must be known.
/// @return kInvalid, naming the word at fault and what was expected there.
/// @ingroup query
Result<OperatorCommand> ParseCommand(const ValidNames& names,
                                     std::string_view text);

}  // namespace pathcleat
