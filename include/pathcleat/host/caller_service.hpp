// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <QObject>

#include "pathcleat/host/domain_run.hpp"
#include "pathcleat/host/key_ledger.hpp"
#include "pathcleat/host/shared.hpp"
#include "pathcleat/net/http_exchange.hpp"

namespace pathcleat {

/// @brief Answers callers' requests in one worker: look-ups of entry hosts,
/// and requests to services, which it routes, relays, retries within the
/// budget, and refuses with a certain "not-run" or an honest "unknown".
/// @ingroup host
class CallerService : public QObject {
 public:
  CallerService(Shared& shared,
                DomainRunner& runner,
                KeyLedger& keys,
                QObject* parent);

  void Handle(const HttpExchangePtr& exchange);

  /// @brief Body limit for a request line, in bytes.
  std::uint64_t BodyLimit(std::string_view method,
                          std::string_view target) const;

 private:
  class Call;

  void Locate(const HttpExchangePtr& exchange);

  Shared& shared_;
  DomainRunner& runner_;
  KeyLedger& keys_;
};

}  // namespace pathcleat
