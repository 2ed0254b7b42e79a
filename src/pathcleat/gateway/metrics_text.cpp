// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/gateway/metrics_text.hpp"

namespace pathcleat {
namespace {

std::string Escaped(const std::string& value) {
  std::string escaped;
  for (const char c : value) {
    if (c == '\n') {
      escaped += "\\n";
      continue;
    }
    if (c == '"' || c == '\\') {
      escaped += '\\';
    }
    escaped += c;
  }
  return escaped;
}

MetricsLabels WithBound(MetricsLabels labels, const std::string& bound) {
  labels.push_back({"le", bound});
  return labels;
}

}  // namespace

void MetricsText::Family(const char* name, const char* type, const char* help) {
  text_ << "# HELP " << name << " " << help << "\n# TYPE " << name << " "
        << type << "\n";
}

void MetricsText::Buckets(const std::string& name,
                          const MetricsLabels& labels,
                          const Histogram& histogram) {
  for (std::size_t i = 0; i < Histogram::kBucketBounds.size(); ++i) {
    std::ostringstream bound;
    bound << Histogram::kBucketBounds.at(i);
    Sample(name + "_bucket", WithBound(labels, bound.str()),
           histogram.CountUpTo(i));
  }
  const std::uint64_t all =
      histogram.CountUpTo(Histogram::kBucketBounds.size());
  Sample(name + "_bucket", WithBound(labels, "+Inf"), all);
  Sample(name + "_sum", labels, histogram.sum_seconds());
  Sample(name + "_count", labels, all);
}

void MetricsText::WriteName(const std::string& name,
                            const MetricsLabels& labels) {
  text_ << name;
  const char* separator = "{";
  for (const MetricsLabel& label : labels) {
    text_ << separator << label.name << "=\"" << Escaped(label.value) << "\"";
    separator = ",";
  }
  text_ << (labels.empty() ? " " : "} ");
}

}  // namespace pathcleat
