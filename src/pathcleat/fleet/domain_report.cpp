// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/fleet/domain_report.hpp"

#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include "pathcleat/core/binary_codec.hpp"
#include "pathcleat/core/hash.hpp"

namespace pathcleat {

std::uint64_t IncarnationId(const HostInfo& host) {
  return MixHashes(StableHash(host.name), host.incarnation);
}

std::string EncodeDomainReport(const DomainReport& report) {
  return EncodeBinary(report);
}

std::optional<DomainReport> DecodeDomainReport(std::string_view bytes) {
  return DecodeBinary<DomainReport>(bytes);
}

}  // namespace pathcleat
