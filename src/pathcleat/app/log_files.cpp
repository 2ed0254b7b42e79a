// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "log_files.hpp"

#include <unistd.h>
#include <zlib.h>

#include <array>
#include <memory>
#include <sstream>

namespace pathcleat {
namespace {

struct GzipCloser {
  void operator()(gzFile_s* file) const { gzclose(file); }
};
using GzipFile = std::unique_ptr<gzFile_s, GzipCloser>;

// Reads plain files too: zlib returns uncompressed input unchanged.
Result<void> ReadLogFile(GzipFile file,
                         const std::string& name,
                         MergedLog& log) {
  if (!file) {
    return Fail({ErrorCode::kInvalid, "read log", name, "cannot be opened"});
  }
  constexpr std::size_t kChunkBytes = 64UL * 1024;
  std::vector<char> chunk(kChunkBytes);
  std::stringstream text;
  int bytes_read = 0;
  while ((bytes_read = gzread(file.get(), chunk.data(), kChunkBytes)) > 0) {
    text.write(chunk.data(), bytes_read);
  }
  if (bytes_read < 0) {
    int code = 0;
    return Fail(
        {ErrorCode::kInvalid, "read log", name, gzerror(file.get(), &code)});
  }
  ReadLog(text, log);
  return {};
}

}  // namespace

Result<MergedLog> ReadLogFiles(const std::vector<std::string>& paths) {
  MergedLog log;
  if (paths.empty()) {
    BOOST_LEAF_CHECK(ReadLogFile(GzipFile(gzdopen(dup(STDIN_FILENO), "rb")),
                                 "standard input", log));
  }
  for (const std::string& path : paths) {
    BOOST_LEAF_CHECK(
        ReadLogFile(GzipFile(gzopen(path.c_str(), "rb")), path, log));
  }
  SortByTime(log);
  return log;
}

}  // namespace pathcleat
