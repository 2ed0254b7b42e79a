// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "pathcleat/core/time.hpp"
#include "pathcleat/http/http_client.hpp"

namespace pathcleat {

/// @brief One kind of request in the mix of a load.
/// @ingroup lab
struct LoadKind {
  std::string name;
  std::string method = "GET";
  std::string path;
  double weight = 1;
  bool keyed = false;  ///< sent with an Idempotency-Key, also when repeated
};

/// @brief An open-loop load: requests are sent on schedule, whether or not
/// earlier requests were answered.
/// @ingroup lab
struct LoadPlan {
  std::vector<LoadKind> kinds;
  double requests_per_second = 50;
  std::chrono::milliseconds duration{10'000};
  int callers = 50;
  /// First two numbers of the IPv4 addresses of callers, one entry per region.
  /// The third number is the number of the caller.
  std::vector<std::string> caller_address_prefixes{"127.101"};
  /// Entry hosts that callers use at first, "address:port".
  std::vector<std::string> hosts;
  /// Endpoints that list the hosts to use, "address:port". Empty: callers use
  /// `hosts` throughout.
  std::vector<std::string> locators;
  std::string host_header = "caller";  ///< sent as the Host field
  /// Field that names the object of each request; empty: not sent.
  std::string affinity_header;
  int objects = 500;  ///< number of different objects
  std::uint64_t seed = 1;
};

/// @brief Outcomes of the requests of one kind, after their repeats.
/// @ingroup lab
struct LoadCounts {
  int sent = 0;
  int answered = 0;
  int not_run = 0;
  int unknown = 0;
  int connection_lost = 0;  ///< no answer before the connection ended
  /// Tries, also repeated ones, whose new connection ended after the request
  /// was sent and before its answer.
  int cut_tries = 0;
  /// The same on a connection that was kept from an earlier request: its end
  /// may have crossed the request.
  int cut_kept_tries = 0;
  int corrupt_answers =
      0;  ///< answers that are incomplete or of another request
  std::vector<double>
      latency_ms;  ///< of answered requests, from the scheduled arrival
  std::vector<double>
      refusal_ms;  ///< the same time for requests refused as "not-run"
};

/// @brief One try of a request, for comparison with the ledgers of upstreams.
/// @ingroup lab
struct LoadRecord {
  std::string run_id;
  std::string key;
  bool reported_not_run =
      false;  ///< whether this try was answered as "not-run"
};

/// @brief Sends a load from many local addresses, as callers would: queries a
/// locator for the entry hosts to use, tries the next host when a host does not
/// answer, and repeats keyed requests with their key. Half of the callers keep
/// their connections open and use them as long as the hosts do.
/// @ingroup lab
class LoadGenerator {
 public:
  LoadGenerator(boost::asio::io_context& loop, const LoadPlan& plan);

  /// @brief Starts the load.
  /// @param finished called after the last answer.
  void Start(std::function<void()> finished);

  const std::map<std::string, LoadCounts>& counts() const { return counts_; }
  const std::vector<LoadRecord>& records() const { return records_; }

 private:
  struct Caller {
    std::string address;
    std::vector<std::string> hosts;
    Time hosts_until;
    std::size_t next_locator = 0;
    bool keeps_connections = false;
    /// Idle connections by host, used until the host closes them.
    std::map<std::string, HttpClientPtr> connections;
  };
  struct Request;
  using RequestPtr = std::shared_ptr<Request>;

  void Arrive();
  void ScheduleNext();
  void Locate(const RequestPtr& request);
  void Send(const RequestPtr& request);
  void OnResult(const RequestPtr& request, const CallResult& result);
  void Repeat(const RequestPtr& request, std::chrono::milliseconds wait);
  void Finish(const RequestPtr& request);
  const std::string& HostFor(const RequestPtr& request) const;
  HttpClientPtr ConnectionFor(const RequestPtr& request);
  void Keep(const RequestPtr& request, const HttpClientPtr& client);
  HttpClientPtr LocatorFor(const RequestPtr& request);
  void ScheduleAfter(std::chrono::microseconds wait,
                     std::function<void()> callback);

  boost::asio::io_context& loop_;
  LoadPlan plan_;
  std::mt19937_64 random_;
  std::vector<Caller> callers_;
  std::map<std::string, LoadCounts> counts_;
  std::vector<LoadRecord> records_;
  std::function<void()> finished_;
  Time started_;
  Time next_arrival_;
  std::uint64_t next_id_ = 1;
  int in_flight_ = 0;
  bool all_arrived_ = false;
};

/// @brief Sample below which the given share of the samples lies.
/// @param samples in any order.
/// @param share from 0 to 1.
/// @return 0 if there are no samples.
/// @ingroup lab
double Quantile(std::vector<double> samples, double share);

}  // namespace pathcleat
