// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/lab/platform_stand_in.hpp"
#include "pathcleat/net/http_status.hpp"

#include <QTimer>
#include <QUrl>
#include <QUrlQuery>
#include <nlohmann/json.hpp>

namespace pathcleat {
namespace {

using nlohmann::json;

json ToJson(const std::string& key,
            std::uint64_t version,
            const std::string& value) {
  return {{"key", key}, {"version", version}, {"value", value}};
}

std::string Parameter(const QUrlQuery& query, const char* name) {
  return query.queryItemValue(name, QUrl::FullyDecoded).toStdString();
}

}  // namespace

PlatformStandIn::PlatformStandIn(std::uint64_t seed, QObject* parent)
    : QObject(parent),
      listener_([this](const HttpExchangePtr& e) { Handle(e); }, this),
      random_(seed) {}

Result<std::uint16_t> PlatformStandIn::Listen(const std::string& address,
                                              std::uint16_t port) {
  return listener_.Listen(address, port);
}

std::string PlatformStandIn::ValueOf(const std::string& key) const {
  const auto found = rows_.find(key);
  return found == rows_.end() ? "" : found->second.value;
}

void PlatformStandIn::Handle(const HttpExchangePtr& exchange) {
  ++calls_;
  if (faults_.down) {
    return;
  }
  const std::string& method = exchange->request().method;
  const bool is_write = method == "PUT" || method == "DELETE";
  HttpResponse response = Perform(exchange->request());
  std::uniform_real_distribution<double> draw(0, 1);
  if (is_write && draw(random_) < faults_.lose_answers) {
    return;
  }
  QTimer::singleShot(faults_.delay_ms, this,
                     [exchange, response = std::move(response)] {
                       exchange->Respond(response);
                     });
}

HttpResponse PlatformStandIn::Perform(const HttpRequest& request) {
  const QUrl url(QString::fromStdString(request.target));
  const QUrlQuery query(url);
  const std::string path = url.path().toStdString();
  if (path == "/table/row") {
    const std::string key = Parameter(query, "key");
    if (request.method == "GET") {
      return ReadRow(key);
    }
    ++writes_;
    return request.method == "PUT" ? WriteRow(request, key)
                                   : DeleteRow(request, key);
  }
  if (path == "/table/scan") {
    return Scan(Parameter(query, "prefix"), Parameter(query, "after"),
                std::stoi("0" + Parameter(query, "most")));
  }
  if (path == "/objects") {
    const std::string name = Parameter(query, "name");
    if (request.method == "PUT") {
      objects_[name] = request.body;
      return JsonResponse(http_status::kOk, "{}");
    }
    const auto found = objects_.find(name);
    return found == objects_.end()
               ? TextResponse(http_status::kNotFound, "")
               : HttpResponse{http_status::kOk, {}, found->second};
  }
  if (path == "/hosts") {
    return JsonResponse(http_status::kOk, json{{"leaving", leaving_}}.dump());
  }
  return TextResponse(http_status::kNotFound, "");
}

HttpResponse PlatformStandIn::ReadRow(const std::string& key) const {
  const auto found = rows_.find(key);
  if (found == rows_.end()) {
    return TextResponse(http_status::kNotFound, "");
  }
  const Row& row = found->second;
  return JsonResponse(http_status::kOk,
                      ToJson(key, row.version, row.value).dump());
}

HttpResponse PlatformStandIn::Scan(const std::string& prefix,
                                   const std::string& after,
                                   int most) const {
  json rows = json::array();
  for (auto row = rows_.upper_bound(std::max(prefix, after));
       row != rows_.end() && row->first.starts_with(prefix) &&
       static_cast<int>(rows.size()) < most;
       ++row) {
    rows.push_back(ToJson(row->first, row->second.version, row->second.value));
  }
  return JsonResponse(http_status::kOk, rows.dump());
}

bool PlatformStandIn::Meets(const HttpRequest& request,
                            const std::string& key) const {
  const auto found = rows_.find(key);
  if (FindHeader(request.headers, "If-None-Match")) {
    return found == rows_.end();
  }
  const std::string expected =
      FindHeader(request.headers, "If-Match").value_or("");
  return found != rows_.end() &&
         std::to_string(found->second.version) == expected;
}

HttpResponse PlatformStandIn::WriteRow(const HttpRequest& request,
                                       const std::string& key) {
  if (!Meets(request, key)) {
    return TextResponse(http_status::kPreconditionFailed, "");
  }
  rows_[key] = {next_version_++, request.body};
  return JsonResponse(http_status::kOk,
                      json{{"version", rows_[key].version}}.dump());
}

HttpResponse PlatformStandIn::DeleteRow(const HttpRequest& request,
                                        const std::string& key) {
  if (!Meets(request, key)) {
    return TextResponse(http_status::kPreconditionFailed, "");
  }
  rows_.erase(key);
  return JsonResponse(http_status::kOk, json{{"version", 0}}.dump());
}

}  // namespace pathcleat
