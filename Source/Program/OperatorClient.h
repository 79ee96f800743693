#pragma once

#include <string>

#include <boost/program_options.hpp>
#include <json/value.h>

#include "Core/Error.h"

namespace jacinthroad {

/// Adds the options `--node` and `--key`, which select a node's operator interface and the key for
/// it.
void addOperatorOptions(boost::program_options::options_description &options);

/// Calls a procedure of a node's operator interface and waits up to 15 s for the response.
[[nodiscard]] Result<Json::Value>
callOperator(const boost::program_options::variables_map &values, const std::string &method,
             const Json::Value &parameters = Json::Value(Json::objectValue));

/// Calls a procedure at a node's base URL instead of at the address given by `--node`.
[[nodiscard]] Result<Json::Value>
callOperatorAt(const std::string &url, const boost::program_options::variables_map &values,
               const std::string &method,
               const Json::Value &parameters = Json::Value(Json::objectValue));

} // namespace jacinthroad
