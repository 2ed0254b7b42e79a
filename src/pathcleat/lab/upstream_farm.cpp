// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/lab/upstream_farm.hpp"
#include "pathcleat/http/http_status.hpp"

#include <algorithm>
#include <boost/algorithm/string/split.hpp>
#include <charconv>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>
#include <vector>

namespace pathcleat {
namespace {

double ToSeconds(Time time) {
  return std::chrono::duration<double>(time.time_since_epoch()).count();
}

// @return the number in the whole text, if it lies in [0, max].
std::optional<double> ParseUpTo(std::string_view text, double max) {
  double value = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  // A NaN is in no range.
  if (parsed.ec != std::errc() || parsed.ptr != end ||
      !(value >= 0 && value <= max)) {
    return std::nullopt;
  }
  return value;
}

// @param percent of the answers that fail from now on.
// @return whether the text is a valid percentage.
bool SetFailing(UpstreamStandIn& upstream, const std::string& percent) {
  constexpr double kMaxPercent = 100;
  const auto value = ParseUpTo(percent, kMaxPercent);
  if (!value) {
    return false;
  }
  upstream.FailAnswers(*value / kMaxPercent);
  return true;
}

// @param tail SHARE:MS; this share (0 to 1) of the requests runs for MS ms.
// @return whether the text is a valid tail.
bool SetTail(UpstreamStandIn& upstream, std::string_view tail) {
  constexpr double kMaxTailMs = 60'000;
  const std::size_t colon = tail.find(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  const auto share = ParseUpTo(tail.substr(0, colon), 1);
  const auto work_ms = ParseUpTo(tail.substr(colon + 1), kMaxTailMs);
  if (!share || !work_ms) {
    return false;
  }
  upstream.SetTail(
      *share, std::chrono::milliseconds(static_cast<std::int64_t>(*work_ms)));
  return true;
}

}  // namespace

UpstreamFarm::UpstreamFarm(boost::asio::io_context& loop,
                           const Deployment& deployment,
                           const HeaderNames& headers,
                           std::chrono::microseconds mean_service_time)
    : deployment_(deployment),
      control_(loop, [this](const HttpExchangePtr& e) { Handle(e); }) {
  std::uint64_t seed = 1;
  for (const Upstream& upstream : deployment.upstreams) {
    UpstreamStandInOptions options;
    options.id = upstream.name;
    options.headers = headers;
    options.slots = upstream.slots;
    options.mean_service_time = mean_service_time;
    options.seed = seed++;
    upstreams_.push_back(std::make_unique<UpstreamStandIn>(loop, options));
  }
}

Result<void> UpstreamFarm::Listen() {
  for (std::size_t i = 0; i < upstreams_.size(); ++i) {
    const Upstream& upstream = deployment_.upstreams[i];
    BOOST_LEAF_CHECK(upstreams_[i]->Listen(upstream.address, upstream.port));
  }
  return {};
}

Result<std::uint16_t> UpstreamFarm::ListenControl(const std::string& address,
                                                  std::uint16_t port) {
  return control_.Listen(address, port);
}

void UpstreamFarm::Handle(const HttpExchangePtr& exchange) {
  if (exchange->request().target == "/ledger") {
    exchange->Respond(JsonResponse(http_status::kOk, LedgerJson()));
    return;
  }
  if (exchange->request().target == "/statements") {
    exchange->Respond(JsonResponse(http_status::kOk, StatementsJson()));
    return;
  }
  if (exchange->request().target == "/arrivals") {
    exchange->Respond(JsonResponse(http_status::kOk, ArrivalsJson()));
    return;
  }
  const bool done = ApplySetting(exchange->request().target);
  exchange->Respond(done ? TextResponse(http_status::kOk, "done\n")
                         : TextResponse(http_status::kNotFound,
                                        "no such path or upstream\n"));
}

// Targets: /set/UPSTREAM/leaving/VALUE and /set/UPSTREAM/retry-after/VALUE; an
// empty value stops the statement. /set/UPSTREAM/failing/PERCENT makes so many
// of its answers fail, /set/UPSTREAM/tail/SHARE:MS makes this share of its
// requests run for MS milliseconds.
bool UpstreamFarm::ApplySetting(const std::string& target) {
  std::vector<std::string> parts;
  boost::algorithm::split(parts, target,
                          [](char character) { return character == '/'; });
  constexpr std::size_t kParts = 5;
  if (parts.size() != kParts || parts[1] != "set") {
    return false;
  }
  const auto found = std::find_if(
      upstreams_.begin(), upstreams_.end(),
      [&parts](const auto& upstream) { return upstream->id() == parts[2]; });
  if (found == upstreams_.end()) {
    return false;
  }
  if (parts[3] == "leaving") {
    (*found)->SetLeavingHeader(parts[4]);
  } else if (parts[3] == "retry-after") {
    (*found)->RejectWithRetryAfter(parts[4]);
  } else if (parts[3] == "failing") {
    return SetFailing(**found, parts[4]);
  } else if (parts[3] == "tail") {
    return SetTail(**found, parts[4]);
  } else {
    return false;
  }
  return true;
}

std::string UpstreamFarm::StatementsJson() const {
  const auto arrivals_since = [](const UpstreamLedger& ledger,
                                 const std::optional<Time>& since) {
    nlohmann::json arrivals = nlohmann::json::array();
    for (const Time arrival : ledger.arrivals) {
      if (since && arrival >= *since) {
        arrivals.push_back(ToSeconds(arrival));
      }
    }
    return nlohmann::json{{"since", since ? ToSeconds(*since) : 0},
                          {"arrivals", arrivals}};
  };
  nlohmann::json statements = nlohmann::json::object();
  for (const auto& upstream : upstreams_) {
    const UpstreamLedger& ledger = upstream->ledger();
    statements[upstream->id()] = {
        {"leaving", arrivals_since(ledger, ledger.announced_leaving_at)},
        {"retry_after", arrivals_since(ledger, ledger.asked_for_time_at)}};
  }
  return statements.dump();
}

std::string UpstreamFarm::ArrivalsJson() const {
  nlohmann::json arrivals = nlohmann::json::object();
  for (const auto& upstream : upstreams_) {
    nlohmann::json& times = arrivals[upstream->id()];
    times = nlohmann::json::array();
    for (const Time arrival : upstream->ledger().arrivals) {
      times.push_back(ToSeconds(arrival));
    }
  }
  return arrivals.dump();
}

std::string UpstreamFarm::LedgerJson() const {
  UpstreamLedger total;
  int over_slots = 0;
  nlohmann::json runs = nlohmann::json::object();
  for (std::size_t i = 0; i < upstreams_.size(); ++i) {
    const UpstreamLedger& ledger = upstreams_[i]->ledger();
    runs[deployment_.upstreams[i].name] = ledger.runs;
    total.runs += ledger.runs;
    over_slots += ledger.peak_in_flight > upstreams_[i]->slots() ? 1 : 0;
    total.rejected += ledger.rejected;
    total.peak_in_flight =
        std::max(total.peak_in_flight, ledger.peak_in_flight);
    for (const auto& [id, count] : ledger.runs_by_id) {
      total.runs_by_id[id] += count;
    }
    for (const auto& [key, count] : ledger.runs_by_key) {
      total.runs_by_key[key] += count;
    }
  }
  const nlohmann::json ledger = {{"runs", total.runs},
                                 {"over_slots", over_slots},
                                 {"turned_away", total.rejected},
                                 {"most_in_flight", total.peak_in_flight},
                                 {"runs_by_upstream", runs},
                                 {"runs_by_id", total.runs_by_id},
                                 {"runs_by_key", total.runs_by_key}};
  return ledger.dump();
}

}  // namespace pathcleat
