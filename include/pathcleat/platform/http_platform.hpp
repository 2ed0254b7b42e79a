// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <QObject>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "pathcleat/core/time.hpp"
#include "pathcleat/net/http_client_connection.hpp"
#include "pathcleat/platform/host_list.hpp"
#include "pathcleat/platform/object_store.hpp"
#include "pathcleat/platform/table_store.hpp"
#include "pathcleat/steer/token_bucket.hpp"

namespace pathcleat {

/// @brief Options of the HTTP adapter to the platform.
/// @ingroup platform
struct HttpPlatformOptions {
  std::string address;
  std::uint16_t port = 0;
  Duration timeout{1'000'000};
  double calls_per_second = 20;  ///< this adapter's share of the store's rate
  double burst = 40;
};

/// @brief The platform over HTTP and JSON; docs/PLATFORM.md gives the form.
/// A platform with another published form is met by replacing this one type.
/// Lives in one thread's event loop.
/// @ingroup platform
class HttpPlatform : public QObject,
                     public TableStore,
                     public ObjectStore,
                     public HostList {
 public:
  HttpPlatform(const HttpPlatformOptions& options, QObject* parent);

  void Read(const std::string& key,
            std::function<void(TableRead)> callback) override;
  void Scan(const std::string& prefix,
            const std::string& after,
            int most,
            std::function<void(TableScan)> callback) override;
  void Write(const std::string& key,
             std::uint64_t expected_version,
             const std::string& value,
             std::function<void(TableWrite)> callback) override;
  void Delete(const std::string& key,
              std::uint64_t expected_version,
              std::function<void(TableWrite)> callback) override;
  void ReadObject(const std::string& name,
                  std::function<void(ObjectRead)> callback) override;
  void WriteObject(const std::string& name,
                   const std::string& bytes,
                   std::function<void(StoreOutcome)> callback) override;
  void ReadHosts(std::function<void(HostListAnswer)> callback) override;

 private:
  using Callback = std::function<void(StoreOutcome, const HttpResponse&)>;

  void Call(HttpRequest request, Callback callback);
  HttpClientConnection* TakeConnection();

  HttpPlatformOptions options_;
  TokenBucket rate_;
  std::vector<HttpClientConnection*> idle_;
};

}  // namespace pathcleat
