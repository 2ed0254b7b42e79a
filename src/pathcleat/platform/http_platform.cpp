// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/platform/http_platform.hpp"
#include "pathcleat/net/http_status.hpp"

#include <QUrl>
#include <nlohmann/json.hpp>
#include <utility>

namespace pathcleat {
namespace {

using nlohmann::json;

constexpr std::uint64_t kLargestObject = 64ULL * 1024 * 1024;

std::string Escape(const std::string& text) {
  return QUrl::toPercentEncoding(QString::fromStdString(text)).toStdString();
}

HttpHeaders Condition(std::uint64_t expected_version) {
  if (expected_version == 0) {
    return {{"If-None-Match", "*"}};
  }
  return {{"If-Match", std::to_string(expected_version)}};
}

StoreOutcome OutcomeOfStatus(int status) {
  if (status == http_status::kOk || status == http_status::kNotFound) {
    return StoreOutcome::kDone;
  }
  if (status == http_status::kPreconditionFailed) {
    return StoreOutcome::kConflict;
  }
  // A store that limits its rate says so before it acts.
  if (status == http_status::kTooManyRequests) {
    return StoreOutcome::kUnreachable;
  }
  return StoreOutcome::kUnknown;
}

StoreOutcome OutcomeOf(const ClientResult& result) {
  switch (result.outcome) {
    case ClientOutcome::kAnswered:
      return OutcomeOfStatus(result.response.status);
    case ClientOutcome::kNotSent:
      return StoreOutcome::kUnreachable;
    case ClientOutcome::kBroken:
    case ClientOutcome::kTimedOut:
      return StoreOutcome::kUnknown;
  }
  return StoreOutcome::kUnknown;
}

TableRow RowFrom(const json& item) {
  return {item.value("key", ""), item.value("version", std::uint64_t{0}),
          item.value("value", "")};
}

json ParseBody(const HttpResponse& response) {
  json body = json::parse(response.body, nullptr, false);
  return body.is_discarded() ? json() : body;
}

TableWrite WriteAnswer(StoreOutcome outcome, const HttpResponse& response) {
  TableWrite answer{outcome, 0};
  if (outcome != StoreOutcome::kDone) {
    return answer;
  }
  const json body = ParseBody(response);
  if (!body.is_object()) {
    answer.outcome = StoreOutcome::kUnknown;
    return answer;
  }
  answer.version = body.value("version", std::uint64_t{0});
  return answer;
}

}  // namespace

HttpPlatform::HttpPlatform(const HttpPlatformOptions& options, QObject* parent)
    : QObject(parent),
      options_(options),
      rate_(options.calls_per_second, options.burst) {}

HttpClientConnection* HttpPlatform::TakeConnection() {
  while (!idle_.empty()) {
    HttpClientConnection* connection = idle_.back();
    idle_.pop_back();
    if (connection->IsReusable()) {
      return connection;
    }
    connection->deleteLater();
  }
  HttpLimits limits;
  limits.body_bytes = kLargestObject;
  return new HttpClientConnection(options_.address, options_.port, limits,
                                  this);
}

void HttpPlatform::Call(HttpRequest request, Callback callback) {
  if (!rate_.TryTake(BootClock::now())) {
    QMetaObject::invokeMethod(
        this,
        [callback = std::move(callback)] {
          callback(StoreOutcome::kUnreachable, HttpResponse{});
        },
        Qt::QueuedConnection);
    return;
  }
  HttpClientConnection* connection = TakeConnection();
  request.headers.push_back({"Host", options_.address});
  const auto timeout =
      std::chrono::duration_cast<std::chrono::milliseconds>(options_.timeout);
  connection->Send(request, timeout,
                   [this, connection, callback = std::move(callback)](
                       const ClientResult& result) {
                     if (connection->IsReusable()) {
                       idle_.push_back(connection);
                     } else {
                       connection->deleteLater();
                     }
                     callback(OutcomeOf(result), result.response);
                   });
}

void HttpPlatform::Read(const std::string& key,
                        std::function<void(TableRead)> callback) {
  Call({"GET", "/table/row?key=" + Escape(key), {}, ""},
       [callback, key](StoreOutcome outcome, const HttpResponse& response) {
         TableRead read{outcome, {key, 0, ""}};
         if (outcome == StoreOutcome::kDone &&
             response.status == http_status::kOk) {
           const json body = ParseBody(response);
           if (body.is_object()) {
             read.row = RowFrom(body);
           } else {
             read.outcome = StoreOutcome::kUnknown;
           }
         }
         callback(read);
       });
}

void HttpPlatform::Scan(const std::string& prefix,
                        const std::string& after,
                        int most,
                        std::function<void(TableScan)> callback) {
  const std::string target = "/table/scan?prefix=" + Escape(prefix) +
                             "&after=" + Escape(after) +
                             "&most=" + std::to_string(most);
  Call({"GET", target, {}, ""},
       [callback](StoreOutcome outcome, const HttpResponse& response) {
         TableScan scan{outcome, {}};
         const json body = ParseBody(response);
         if (outcome == StoreOutcome::kDone && !body.is_array()) {
           scan.outcome = StoreOutcome::kUnknown;
         }
         if (scan.outcome == StoreOutcome::kDone) {
           for (const json& item : body) {
             scan.rows.push_back(RowFrom(item));
           }
         }
         callback(scan);
       });
}

void HttpPlatform::Write(const std::string& key,
                         std::uint64_t expected_version,
                         const std::string& value,
                         std::function<void(TableWrite)> callback) {
  Call({"PUT", "/table/row?key=" + Escape(key), Condition(expected_version),
        value},
       [callback](StoreOutcome outcome, const HttpResponse& response) {
         callback(WriteAnswer(outcome, response));
       });
}

void HttpPlatform::Delete(const std::string& key,
                          std::uint64_t expected_version,
                          std::function<void(TableWrite)> callback) {
  Call({"DELETE", "/table/row?key=" + Escape(key), Condition(expected_version),
        ""},
       [callback](StoreOutcome outcome, const HttpResponse& response) {
         callback(WriteAnswer(outcome, response));
       });
}

void HttpPlatform::ReadObject(const std::string& name,
                              std::function<void(ObjectRead)> callback) {
  Call({"GET", "/objects?name=" + Escape(name), {}, ""},
       [callback](StoreOutcome outcome, const HttpResponse& response) {
         const bool missing = response.status == http_status::kNotFound;
         callback({missing ? StoreOutcome::kConflict : outcome,
                   missing ? "" : response.body});
       });
}

void HttpPlatform::WriteObject(const std::string& name,
                               const std::string& bytes,
                               std::function<void(StoreOutcome)> callback) {
  Call({"PUT", "/objects?name=" + Escape(name), {}, bytes},
       [callback](StoreOutcome outcome, const HttpResponse&) {
         callback(outcome);
       });
}

void HttpPlatform::ReadHosts(std::function<void(HostListAnswer)> callback) {
  Call({"GET", "/hosts", {}, ""},
       [callback](StoreOutcome outcome, const HttpResponse& response) {
         HostListAnswer answer{outcome, {}};
         const json body = ParseBody(response);
         if (outcome == StoreOutcome::kDone && body.is_object() &&
             body.contains("leaving") && body["leaving"].is_array()) {
           for (const json& name : body["leaving"]) {
             if (name.is_string()) {
               answer.leaving.push_back(name.get<std::string>());
             }
           }
         }
         callback(answer);
       });
}

}  // namespace pathcleat
