// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <sstream>
#include <string>
#include <vector>

#include "pathcleat/core/histogram.hpp"

namespace pathcleat {

/// @brief A label of a metrics sample.
/// @ingroup gateway
struct MetricsLabel {
  const char* name;
  std::string value;
};
using MetricsLabels = std::vector<MetricsLabel>;

/// @brief Writes metric families and their samples in the Prometheus text
/// exposition format; escapes label values.
/// @ingroup gateway
class MetricsText {
 public:
  void Family(const char* name, const char* type, const char* help);

  template <class Number>
  void Sample(const std::string& name,
              const MetricsLabels& labels,
              Number value) {
    WriteName(name, labels);
    text_ << value << "\n";
  }

  void Buckets(const std::string& name,
               const MetricsLabels& labels,
               const Histogram& histogram);

  std::string Text() const { return text_.str(); }

 private:
  void WriteName(const std::string& name, const MetricsLabels& labels);

  std::ostringstream text_;
};

}  // namespace pathcleat
