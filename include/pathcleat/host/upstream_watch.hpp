// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <QObject>
#include <map>
#include <vector>

#include "pathcleat/host/shared.hpp"
#include "pathcleat/net/http_client_connection.hpp"
#include "pathcleat/platform/host_list.hpp"

namespace pathcleat {

/// @brief Watches the upstreams this host owns: probes (each fills a slot),
/// the platform's host list, and drains in the configuration. Control thread
/// only.
/// @ingroup host
class UpstreamWatch : public QObject {
 public:
  UpstreamWatch(Shared& shared, HostList& hosts, QObject* parent);

  /// @brief Probes every owned upstream that has a free slot; call once a
  /// probe period.
  void ProbeAll();

  /// @brief Reads the host list, if this host is the one of its failure
  /// domain that does.
  void ReadHostList();

  /// @brief A sibling read the host list.
  void OnHostList(const std::vector<UpstreamIndex>& leaving);

  /// @brief Applies the configuration's drains to the owned upstreams.
  void ApplyDrains();

  /// @brief The list to pass on; see ReadHostList.
  bool reads_host_list() const { return reads_host_list_; }
  const std::vector<UpstreamIndex>& listed_leaving() const {
    return listed_leaving_;
  }

 private:
  struct Probe {
    HttpClientConnection* connection = nullptr;
    bool running = false;
    int failures = 0;
  };

  std::vector<UpstreamIndex> InDomain() const;
  void Start(UpstreamIndex upstream, const SlotToken& token);
  void OnProbed(UpstreamIndex upstream, const ClientResult& result);

  Shared& shared_;
  HostList& hosts_;
  std::map<UpstreamIndex, Probe> probes_;
  bool reads_host_list_ = false;
  std::vector<UpstreamIndex> listed_leaving_;
};

}  // namespace pathcleat
