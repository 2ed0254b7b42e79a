// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <QObject>
#include <cstdint>
#include <string>

#include "pathcleat/host/config_keeper.hpp"
#include "pathcleat/host/seat_keeper.hpp"
#include "pathcleat/host/shared.hpp"
#include "pathcleat/net/http_exchange.hpp"
#include "pathcleat/query/command.hpp"

namespace pathcleat {

/// @brief Answers operators over HTTP: POST /v1/query with a command as body,
/// GET /v1/timeline for the events kept. Every request must carry the
/// operators' token. Control thread only.
/// @ingroup host
class OperatorService : public QObject {
 public:
  OperatorService(Shared& shared,
                  SeatKeeper& seats,
                  ConfigKeeper& config,
                  QObject* parent);

  void Handle(const HttpExchangePtr& exchange);

 private:
  bool IsOperator(const HttpRequest& request) const;
  void Query(const HttpExchangePtr& exchange);
  void Submit(const HttpExchangePtr& exchange, const ChangeCommand& command);
  std::string NextCommandId();

  std::string Answer(const WhereQuery& query) const;
  std::string Answer(const WhyQuery& query) const;
  std::string Answer(const ShowQuery& query) const;
  std::string Answer(const HelpQuery& query) const;
  std::string ShowHosts() const;
  std::string ShowUpstreams() const;
  std::string ShowShifts() const;
  std::string ShowConfig() const;
  std::string Timeline() const;

  Shared& shared_;
  SeatKeeper& seats_;
  ConfigKeeper& config_;
  std::uint64_t next_command_ = 1;
};

}  // namespace pathcleat
