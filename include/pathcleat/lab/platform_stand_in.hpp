// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <QObject>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>

#include "pathcleat/lab/http_listener.hpp"

namespace pathcleat {

/// @brief Faults and limits of a platform stand-in.
/// @ingroup lab
struct PlatformFaults {
  bool down = false;        ///< answers nothing
  double lose_answers = 0;  ///< share of writes done but not answered
  int delay_ms = 0;         ///< added to each answer
};

/// @brief Small stand-in for the platform's table service, object store and
/// host list, in memory, with the faults that the real ones have.
/// @ingroup lab
class PlatformStandIn : public QObject {
 public:
  PlatformStandIn(std::uint64_t seed, QObject* parent);

  Result<std::uint16_t> Listen(const std::string& address, std::uint16_t port);

  void SetFaults(const PlatformFaults& faults) { faults_ = faults; }
  void SetLeaving(const std::set<std::string>& names) { leaving_ = names; }

  std::uint64_t writes() const { return writes_; }
  std::uint64_t calls() const { return calls_; }

  /// @brief Value of a row; empty if there is none.
  std::string ValueOf(const std::string& key) const;

 private:
  struct Row {
    std::uint64_t version = 0;
    std::string value;
  };

  void Handle(const HttpExchangePtr& exchange);
  HttpResponse Perform(const HttpRequest& request);
  HttpResponse ReadRow(const std::string& key) const;
  HttpResponse Scan(const std::string& prefix,
                    const std::string& after,
                    int most) const;
  HttpResponse WriteRow(const HttpRequest& request, const std::string& key);
  HttpResponse DeleteRow(const HttpRequest& request, const std::string& key);
  bool Meets(const HttpRequest& request, const std::string& key) const;

  HttpListener listener_;
  std::mt19937_64 random_;
  PlatformFaults faults_;
  std::map<std::string, Row> rows_;
  std::map<std::string, std::string> objects_;
  std::set<std::string> leaving_;
  std::uint64_t next_version_ = 1;
  std::uint64_t writes_ = 0;
  std::uint64_t calls_ = 0;
};

}  // namespace pathcleat
