#ifndef BILBERRY_CTL_OUTPUT_H
#define BILBERRY_CTL_OUTPUT_H

#include "bilberry/model/releasenote.h"

#include <boost/json.hpp>

#include <string>
#include <vector>

namespace bilberry::ctl {

/// A table of the text output.
struct Table
{
    std::vector<std::string> headings;
    std::vector<std::vector<std::string>> rows;
};

/// Prints a table with aligned columns to standard output.
void print(const Table &table);

/// Prints a JSON value and a line feed to standard output.
void print(const boost::json::value &value);

/// Prints an error that ends the command to standard error.
/// @param subject object or action that the error concerns
void printError(const std::string &subject, const std::error_code &error);

boost::json::array toJson(const std::vector<PlannedChange> &changes);

/// Prints each change with its values before and after to standard output.
void print(const std::vector<PlannedChange> &changes);

/// Prints the faults of a release note.
/// @param json print them as JSON to standard output; else as text to standard error
void printFaults(bool json, const std::string &file, const std::vector<ReleaseNoteFault> &faults);

/// @return decimal text of a number, with at most 6 significant digits and no trailing zeros
std::string formatNumber(double value);

} // namespace bilberry::ctl

#endif
