// The part that crashes each replica has an id of 32 hexadecimal digits, before any event. With
// LONG_ID=0 its id has four digits, for comparison.

#include "../crash-part-3.hpp"

int main(int argc, char** argv)
{
    auto const* const setting = std::getenv("LONG_ID");
    bool const is_long = setting == nullptr || std::string_view(setting) != "0";
    review::crash_part_options options;
    if (is_long)
        options.bad_part = "9f86d081884c7d659a2feaa0c55ad015:500";
    options.run_ms = 30'000;
    return review::crash_part_case(argc > 1 ? argv[1] : "record.txt", options).run();
}
