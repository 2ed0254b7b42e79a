// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/lab/upstream_farm.hpp"
#include "pathcleat/net/http_status.hpp"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

namespace pathcleat {
namespace {
constexpr std::string_view kLeavingPath = "/leaving/";
}  // namespace

UpstreamFarm::UpstreamFarm(const Deployment& deployment,
                           std::chrono::microseconds mean_service_time,
                           QObject* parent)
    : QObject(parent),
      deployment_(deployment),
      control_([this](const HttpExchangePtr& e) { Handle(e); }, this) {
  std::uint64_t seed = 1;
  for (const Upstream& upstream : deployment.upstreams) {
    UpstreamStandInOptions options;
    options.slots = upstream.slots;
    options.mean_service_time = mean_service_time;
    options.seed = seed++;
    upstreams_.push_back(std::make_unique<UpstreamStandIn>(options, nullptr));
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
  const std::string& target = exchange->request().target;
  if (target == "/ledger") {
    exchange->Respond(JsonResponse(http_status::kOk, LedgerJson()));
    return;
  }
  if (std::string_view(target).starts_with(kLeavingPath)) {
    const auto upstream =
        deployment_.FindUpstream(target.substr(kLeavingPath.size()));
    if (upstream) {
      upstreams_[upstream->value]->SetLeaving(true);
      exchange->Respond(TextResponse(http_status::kOk, "leaving\n"));
      return;
    }
  }
  exchange->Respond(TextResponse(http_status::kNotFound, "no such thing\n"));
}

std::string UpstreamFarm::LedgerJson() const {
  UpstreamLedger sum;
  nlohmann::json runs = nlohmann::json::object();
  for (std::size_t i = 0; i < upstreams_.size(); ++i) {
    const UpstreamLedger& ledger = upstreams_[i]->ledger();
    runs[deployment_.upstreams[i].name] = ledger.runs;
    sum.runs += ledger.runs;
    sum.over_slots += ledger.over_slots;
    sum.most_in_flight = std::max(sum.most_in_flight, ledger.most_in_flight);
    for (const auto& [id, count] : ledger.runs_by_id) {
      sum.runs_by_id[id] += count;
    }
    for (const auto& [key, count] : ledger.runs_by_key) {
      sum.runs_by_key[key] += count;
    }
  }
  const nlohmann::json ledger = {{"runs", sum.runs},
                                 {"over_slots", sum.over_slots},
                                 {"most_in_flight", sum.most_in_flight},
                                 {"runs_by_upstream", runs},
                                 {"runs_by_id", sum.runs_by_id},
                                 {"runs_by_key", sum.runs_by_key}};
  return ledger.dump();
}

}  // namespace pathcleat
