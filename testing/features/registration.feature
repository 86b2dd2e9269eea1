Feature: An entry handles the loss of its lease at any time

  # The lease ends while a rebalance waits for the store; this raised a KeyError.
  Scenario: The lease ends while a group is released
    Given a registered entry that holds groups 1 and 2 and is assigned none
    When its lease ends during the first call that releases a group
    Then the entry holds no group
    And no call failed unexpectedly

  # The key is removed with the old lease, and another entry may have acquired the group since.
  Scenario: The lease ends while a group is acquired
    Given a registered entry that is assigned all groups
    When its lease ends during the first call that acquires a group
    Then the entry holds no group acquired under the ended lease

  Scenario Outline: The watch shows a coordinator key of this entry
    Given a registered entry that is assigned all groups
    When the watch shows its key of group 7 under <lease>
    Then the entry <result> group 7

    Examples: a write whose response was lost is found; a key of an ended lease is ignored
      | lease             | result        |
      | the current lease | holds         |
      | an ended lease    | does not hold |

  Scenario: The store is rewound to before a group was acquired
    Given a registered entry that holds groups 1 and 2 and is assigned all
    When the watch shows a rewound store without coordinator keys
    Then the entry holds no group acquired before the rewind

  # After an outage a waiting entry may take the seat first; the previous owner exited at once.
  Scenario: Another entry takes the seat after the lease ended
    Given a registered entry that is assigned all groups
    When another entry takes its seat and its lease ends
    Then a drain of the entry is requested
    And its registration does not end the process

  # With CRC-32 weights one of five entries coordinated 20 of 32 groups, and two none.
  Scenario Outline: Groups are divided evenly over <count> entries
    Given <count> registered entries
    Then each is assigned at most its share of the groups, rounded up
    And every group has one coordinator
    And at most <moved> groups change their coordinator when one more entry is added

    Examples:
      | count | moved |
      | 1     | 16    |
      | 3     | 16    |
      | 5     | 16    |
      | 13    | 16    |
      | 15    | 16    |
      | 50    | 16    |
