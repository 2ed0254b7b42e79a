// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/lab/upstream_farm.hpp"
#include "pathcleat/http/http_status.hpp"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

namespace pathcleat {
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
  exchange->Respond(TextResponse(http_status::kNotFound, "no such path\n"));
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
