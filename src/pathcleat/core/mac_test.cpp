// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/core/mac.hpp"

#include <string>

#include "property.hpp"

namespace pathcleat {
namespace {

// Guards against hosts of different versions that compute different MACs.
Test(mac, parts_have_the_mac_of_their_concatenation) {
  cr_assert(Holds("parts", [](const std::string& a, const std::string& b,
                              const std::string& key) {
    RC_ASSERT(AppendMac(a + b, key) == a + b + MacOf({a, b}, key));
  }));
}

}  // namespace
}  // namespace pathcleat
