// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <string>

#include "pathcleat/gateway/gateway_state.hpp"
#include "pathcleat/http/http_exchange.hpp"
#include "pathcleat/query/command.hpp"
#include "pathcleat/records/command_log.hpp"
#include "pathcleat/records/fleet_secrets.hpp"

namespace pathcleat {

/// @brief Serves operators: POST /v1/query with a command as its body, and GET
/// /v1/timeline. Operators authenticate with a bearer token.
/// @ingroup gateway
class OperatorService {
 public:
  OperatorService(GatewayState& state,
                  CommandLog& commands,
                  const FleetSecrets& secrets);

  void Handle(const HttpExchangePtr& exchange);

 private:
  bool IsOperator(const HttpRequest& request) const;
  ValidNames CurrentNames() const;
  void Query(const HttpExchangePtr& exchange);
  void Submit(const HttpExchangePtr& exchange,
              const ConfigOperation& operation);
  std::string Answer(const WhereQuery& query);
  std::string Answer(const WhyQuery& query) const;
  std::string Answer(const ShowQuery& query) const;
  std::string Answer(const AccountQuery& query) const;
  std::string Answer(const RolloutsQuery& query) const;
  std::string Answer(const RolloutQuery& query) const;
  std::string Answer(const HelpQuery& query) const;
  Result<ConfigOperation> BindToOrder(const ConfigOperation& operation) const;
  std::string ShowHosts() const;
  static std::string LoadText(const HostInfo& host);
  static std::string RateLimitText(const UpstreamState& upstream, Time now);
  static std::string StatementText(const UpstreamState& upstream, Time now);
  std::string ShowUpstreams() const;
  std::string ShowShifts() const;
  std::string ShowConfig() const;
  std::string ShowAccounts() const;
  std::string ShowRollouts() const;
  std::string Timeline() const;
  std::string NextCommandId();

  GatewayState& state_;
  CommandLog& commands_;
  const FleetSecrets& secrets_;
  std::uint64_t next_command_number_ = 1;
};

}  // namespace pathcleat
