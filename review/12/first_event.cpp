// One part of a prompt crashes each replica shortly after it has written the first event of an
// answer on it. With FIRST_EVENT=0 it crashes before, for comparison.

#include "../crash-part-3.hpp"

int main(int argc, char** argv)
{
    auto const* const setting = std::getenv("FIRST_EVENT");
    review::crash_part_options options;
    options.has_first_event = setting == nullptr || std::string_view(setting) != "0";
    return review::crash_part_case(argc > 1 ? argv[1] : "record.txt", options).run();
}
